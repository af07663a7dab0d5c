package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// restartPause is how long after its end a process is started again.
const restartPause = 300 * time.Millisecond

// process is one gateway process, started again whenever it ends.
type process struct {
	program string
	args    []string
	env     []string
	output  *os.File

	mu      sync.Mutex
	running *exec.Cmd
	closing bool
	// lives has when each life began, and ends when each ended.
	lives []time.Time
	ends  []time.Time
	done  chan struct{}
}

func startProcess(program string, args, env []string, output *os.File) *process {
	process := &process{program: program, args: args, env: env, output: output, done: make(chan struct{})}
	go process.keep()
	return process
}

// keep starts the process until it is closed.
func (process *process) keep() {
	defer close(process.done)
	for {
		command := process.start()
		if command == nil {
			return
		}
		_ = command.Wait() // how it ended shows in its output
		process.mu.Lock()
		process.running = nil
		process.ends = append(process.ends, time.Now())
		process.mu.Unlock()
		time.Sleep(restartPause)
	}
}

// start starts the process, or returns nil when it is closed or cannot start.
func (process *process) start() *exec.Cmd {
	process.mu.Lock()
	defer process.mu.Unlock()
	if process.closing {
		return nil
	}
	command := exec.Command(process.program, process.args...) //nolint:gosec,noctx // the gateway; ended by its id
	command.Env = append(os.Environ(), process.env...)
	command.Stdout, command.Stderr = process.output, process.output
	if err := command.Start(); err != nil {
		_, _ = process.output.WriteString(errors.Wrap(err, "start").Error() + "\n") // nowhere else to say it
		return nil
	}
	process.running = command
	process.lives = append(process.lives, time.Now())
	return command
}

// signal sends a signal to the process if it runs.
func (process *process) signal(signal syscall.Signal) {
	process.mu.Lock()
	defer process.mu.Unlock()
	if process.running != nil {
		_ = process.running.Process.Signal(signal) // it may have ended just now
	}
}

// close ends the process for good.
func (process *process) close() {
	process.mu.Lock()
	process.closing = true
	process.mu.Unlock()
	process.signal(syscall.SIGCONT)
	process.signal(syscall.SIGKILL)
	<-process.done
}

// life returns which life of the process a time falls into, from one.
func (process *process) life(at time.Time) int {
	process.mu.Lock()
	defer process.mu.Unlock()
	count := 0
	for _, began := range process.lives {
		if !began.After(at) {
			count++
		}
	}
	return count
}

// servingTime is how long after its start a process serves at the latest.
const servingTime = 500 * time.Millisecond

// down reports whether the process was away, or just starting, at any time in a
// span.
func (process *process) down(from, to time.Time) bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	for life, end := range process.ends {
		back := end.Add(restartPause + servingTime)
		if life+1 < len(process.lives) {
			back = process.lives[life+1].Add(servingTime)
		}
		if end.Before(to) && back.After(from) {
			return true
		}
	}
	return false
}
