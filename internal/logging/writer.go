// Package logging writes log lines without ever holding up who logs.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer hands lines to a slower writer. When its queue is full, lines are left
// out and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    sync.Once
	done    chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer with a queue of that many lines in front of target.
func New(target io.Writer, queue int) *Writer {
	writer := &Writer{lines: make(chan []byte, queue), done: make(chan struct{})}
	go writer.run(target)
	return writer
}

// Write implements io.Writer. It never blocks and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case writer.lines <- copied:
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out so far.
func (writer *Writer) Dropped() int64 {
	return writer.dropped.Load()
}

// Close writes what is queued. Nothing may be written afterwards.
func (writer *Writer) Close() {
	writer.stop.Do(func() { close(writer.lines) })
	<-writer.done
}

func (writer *Writer) run(target io.Writer) {
	defer close(writer.done)
	for line := range writer.lines {
		_, _ = target.Write(line) // there is nowhere to tell of it
	}
}
