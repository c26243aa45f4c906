package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.stop()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.record.line("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	code := exitHeld
	switch {
	case err != nil:
		f.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	case broken:
		f.record.line("verdict: the rule was broken")
		code = exitBroken
	default:
		f.record.line("verdict: the rule held")
	}
	f.stop()
	os.Exit(code)
}
