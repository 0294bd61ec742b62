// Command stand runs the cases of the review that are scripts: it starts entry VMs as
// separate processes and surrounds them with stand-ins for requesters, endpoints, routers
// and the platform's store, all on loopback addresses. It exits with 0 if the rule of the
// case held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration limits a case.
const maxDuration = 115 * time.Second

// caseFunc runs a case and returns how often its rule was broken. Without trouble it leaves
// out the disruption.
type caseFunc func(ctx context.Context, e *environment, trouble bool) (broken int, err error)

var cases = map[string]caseFunc{
	"freeze": runFreeze,
	"full":   runFull,
	"port":   runPort,
	"storm":  runStorm,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f caseFunc, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	e, err := newEnvironment(ctx, rec)
	if err != nil {
		rec.summary("not run: %v", err)
		return exitNotRun
	}
	defer e.close()
	broken, err := f(ctx, e, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.summary("not run: %v", err)
		return exitNotRun
	case broken > 0:
		rec.printf("result: the rule was broken %d times", broken)
		return exitBroken
	}
	rec.printf("result: the rule held")
	return exitHeld
}
