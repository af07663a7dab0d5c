// Command standin plays the cases of the review: it starts mw-gateway as processes on loopback addresses, with
// stand-ins of the platform's store, of backend servers and of clients, and checks one rule.
//
//	standin CASE GATEWAY CONFIG DIR
//
// CASE names the case, GATEWAY is the program, CONFIG its settings file, and DIR the folder of record.txt. The exit
// status is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment
// the case runs without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// runLimit is the longest time that a case may take.
const runLimit = 110 * time.Second

// caseFunc plays a case and returns how often the rule was broken.
type caseFunc func(world *world) (int, error)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	cases := map[string]caseFunc{"tunnel": playTunnel, "surplus": playSurplus, "kill": playKill}
	if len(args) != 4 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin tunnel|surplus|kill GATEWAY CONFIG DIR")
		return exitCannotRun
	}
	broken, err := play(cases[args[0]], args[1], args[2], args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCannotRun
	case broken > 0:
		fmt.Printf("rule broken %d times\n", broken)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

// play plays a case in a new world, and ends all that it started.
func play(played caseFunc, gateway, config, dir string) (int, error) {
	world, err := newWorld(gateway, config, dir)
	if err != nil {
		return 0, err
	}
	defer world.close()
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := played(world)
		done <- result{broken: broken, err: err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case result := <-done:
		return result.broken, result.err
	case <-interrupted:
		return 0, errors.New("it was interrupted")
	case <-time.After(runLimit):
		return 0, errors.New("it took too long")
	}
}
