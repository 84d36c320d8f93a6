package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	limitText = "the scenario could not run: "
	timeLimit = 110 * time.Second
)

// scenario plays one case and returns an exit status.
type scenario func(w *world, trouble bool) (int, error)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("scenario", "", "name of the scenario")
	dir := flag.String("dir", ".", "folder of record.txt")
	command := flag.String("command", "target/marigoldshed", "program of the entry instances")
	flag.Parse()
	play := scenarioOf(*name)
	if play == nil {
		fmt.Fprintln(os.Stderr, limitText+"no such scenario")
		return couldNot
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, limitText+err.Error())
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Println("logs:", temporary)
	}
	program, err := filepath.Abs(*command)
	if err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, limitText+err.Error())
		return couldNot
	}
	w, err := newWorld(filepath.Join(*dir, "record.txt"), temporary, map[string]int{"label": 2}[*name])
	if err != nil {
		fmt.Fprintln(os.Stderr, limitText+err.Error())
		return couldNot
	}
	defer w.close()
	time.AfterFunc(timeLimit, func() {
		w.note(limitText + "the time is over")
		w.close()
		os.Exit(couldNot)
	})
	w.writeConfig()
	status := couldNot
	if err = w.startFronts(program); err == nil {
		status, err = play(w, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		w.note("%s%v", limitText, err)
		fmt.Fprintln(os.Stderr, limitText+err.Error())
		return couldNot
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was BROKEN"}[status]
	w.note("%s", verdict)
	fmt.Println(verdict)
	return status
}
