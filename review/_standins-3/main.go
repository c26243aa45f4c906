package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results of a script.
const (
	held    = 0
	broken  = 1
	failure = 2
)

var scenarios = map[string]func(r *record, trouble bool) (int, error){
	"comments": streamComments,
	"late":     latePrograms,
}

// main runs a scenario: standins NAME FOLDER. It writes record.txt into the folder.
func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins SCENARIO FOLDER")
		os.Exit(failure)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failure)
	}
	r := &record{w: bufio.NewWriter(file), started: time.Now()}
	result, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		result = failure
	}
	r.printf("result: %d (0 the rule held, 1 it was broken, 2 the case could not run)", result)
	r.flush()
	file.Close()
	os.Exit(result)
}
