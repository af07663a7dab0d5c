package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// restartPause is the time between the end of a process and its restart.
const restartPause = 300 * time.Millisecond

// process runs a gateway process and restarts it whenever it ends.
type process struct {
	program string
	args    []string
	env     []string
	output  *os.File

	mu      sync.Mutex
	running *exec.Cmd
	closing bool
	// startTimes and endTimes hold when each incarnation began and ended.
	startTimes []time.Time
	endTimes   []time.Time
	done       chan struct{}
}

func startProcess(program string, args, env []string, output *os.File) *process {
	process := &process{program: program, args: args, env: env, output: output, done: make(chan struct{})}
	go process.supervise()
	return process
}

// supervise starts the process again and again until it is closed or cannot start.
func (process *process) supervise() {
	defer close(process.done)
	for {
		command := process.start()
		if command == nil {
			return
		}
		_ = command.Wait() // the output shows why it ended
		process.mu.Lock()
		process.running = nil
		process.endTimes = append(process.endTimes, time.Now())
		process.mu.Unlock()
		time.Sleep(restartPause)
	}
}

// start starts the process. It returns nil when the process is closed or cannot start.
func (process *process) start() *exec.Cmd {
	process.mu.Lock()
	defer process.mu.Unlock()
	if process.closing {
		return nil
	}
	command := exec.Command(process.program, process.args...) //nolint:gosec,noctx // the program is a setting; close kills the process
	command.Env = append(os.Environ(), process.env...)
	command.Stdout, command.Stderr = process.output, process.output
	if err := command.Start(); err != nil {
		process.log(errors.Wrap(err, "start gateway"))
		return nil
	}
	process.running = command
	process.startTimes = append(process.startTimes, time.Now())
	return command
}

// log writes an error to the output, which is the only log.
func (process *process) log(err error) {
	_, _ = process.output.WriteString(err.Error() + "\n") // nothing is left to report a failure to
}

// update makes later starts run another program.
func (process *process) update(program string) {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.program = program
}

// signal sends a signal to the process, if it is running.
func (process *process) signal(signal syscall.Signal) {
	process.mu.Lock()
	defer process.mu.Unlock()
	if process.running != nil {
		_ = process.running.Process.Signal(signal) // fails only if the process has just ended
	}
}

// close kills the process and waits until it has ended. It is not restarted.
func (process *process) close() {
	process.mu.Lock()
	process.closing = true
	process.mu.Unlock()
	process.signal(syscall.SIGCONT)
	process.signal(syscall.SIGKILL)
	<-process.done
}

// incarnation returns the number of starts of the process up to a time.
func (process *process) incarnation(at time.Time) int {
	process.mu.Lock()
	defer process.mu.Unlock()
	count := 0
	for _, began := range process.startTimes {
		if !began.After(at) {
			count++
		}
	}
	return count
}

// servingTime is how long after its start a process must serve at the latest.
const servingTime = 500 * time.Millisecond

// closingTime is how long before the end of a process was seen it may have closed its connections.
const closingTime = 20 * time.Millisecond

// down reports whether the process was not running, or still starting, at any time in
// a span.
func (process *process) down(from, to time.Time) bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	for index, end := range process.endTimes {
		servesFrom := end.Add(restartPause + servingTime)
		if index+1 < len(process.startTimes) {
			servesFrom = process.startTimes[index+1].Add(servingTime)
		}
		if end.Add(-closingTime).Before(to) && servesFrom.After(from) {
			return true
		}
	}
	return false
}
