package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what a case needs: the fleet, and whether the disruption is played.
type scene struct {
	rec     *recorder
	fleet   *fleet
	trouble bool
}

// cases returns whether the rule was broken, or an error if the case couldn't run.
var cases = map[string]struct {
	edges int
	run   func(*scene) (broken bool, err error)
}{
	"lost-disks": {2, runLostDisks},
	"budget":     {7, runBudget},
	"mid-stream": {1, runMidStream},
	"resumed":    {3, runResumedTurn},
	"leaving":    {7, runLeaving},
	"returning":  {7, runReturning},
	"stopping":   {3, runStopping},
	"long-chain": {2, runLongChain},
	"configs":    {2, runConfigs},
}

func main() {
	name := flag.String("case", "", "the case to run")
	record := flag.String("record", "record.txt", "the file to write what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*name, *record))
}

func runCase(name, path string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "driver: no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "driver: %v\n", err)
		return exitNotRun
	}
	f, err := newFleet(rec, c.edges)
	if err != nil {
		fmt.Fprintf(os.Stderr, "driver: %v\n", err)
		return exitNotRun
	}
	ended := make(chan int, 2)
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(117 * time.Second):
		}
		rec.line("the case was cut short")
		ended <- exitNotRun
	}()
	go func() {
		broken, err := c.run(&scene{rec, f, os.Getenv("TROUBLE") != "0"})
		switch {
		case err != nil:
			rec.line("the case couldn't run: %v", err)
			ended <- exitNotRun
		case broken:
			rec.line("result: the rule was broken")
			ended <- exitBroken
		default:
			rec.line("result: the rule held")
			ended <- exitHeld
		}
	}()
	code := <-ended
	f.stop()
	if err := rec.close(); err != nil {
		return exitNotRun
	}
	return code
}
