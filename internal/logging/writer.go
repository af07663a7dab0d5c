// Package logging provides a writer for log lines that never blocks the caller.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer queues lines for a slower writer. When the queue is full, it drops and
// counts lines. Its methods are safe for concurrent use, except Write after Close.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    sync.Once
	done    chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer that copies lines to target in the background, with a queue of the given number of lines. It
// must be closed.
func New(target io.Writer, queue int) *Writer {
	writer := &Writer{lines: make(chan []byte, queue), done: make(chan struct{})}
	go writer.run(target)
	return writer
}

// Write implements io.Writer. It never blocks and never returns an error.
func (writer *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case writer.lines <- copied:
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (writer *Writer) Dropped() int64 {
	return writer.dropped.Load()
}

// Close blocks until all queued lines are written. Write panics afterwards.
func (writer *Writer) Close() {
	writer.stop.Do(func() { close(writer.lines) })
	<-writer.done
}

func (writer *Writer) run(target io.Writer) {
	defer close(writer.done)
	for line := range writer.lines {
		_, _ = target.Write(line) // a failure to write the log can't be logged
	}
}
