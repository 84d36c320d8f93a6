// Command stand2 plays the scripted cases of the second review: it starts the program as separate processes against small
// stand-ins of the platform, and checks one rule by what callers, workers and the platform see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2 // the case could not run
)

// errNotRun reports a case that could not run.
var errNotRun = errors.New("the case could not run")

// cases maps the names of the cases to their functions, which report whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){"wave": playWave, "cuts": playCuts, "probation": playProbation}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/marigoldshed", "the program, as the deploy file builds it")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return unknown
	}
	w, err := newWorld(*program, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(unknown)
	}()
	isBroken, err := run(w)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unknown
	case isBroken:
		w.note("the rule was broken")
		return broken
	}
	w.note("the rule held")
	return held
}
