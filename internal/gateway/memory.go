package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errNoMemory ends the reading of a body that there is no memory for.
var errNoMemory = errors.New("no memory for the body")

// memory bounds what the VM keeps of all requests at once.
//
// It answers callers and servers that read or send slowly, many at a time: what is kept for each stays until the other side
// took it, so that the sum grows with their number.
type memory struct {
	// most is in bytes, or zero for no bound.
	most int64
	used atomic.Int64
}

// take reports whether so many bytes more are within the bound, and counts them then.
func (memory *memory) take(count int64) bool {
	if memory.used.Add(count) > memory.most && memory.most > 0 {
		memory.give(count)
		return false
	}
	return true
}

func (memory *memory) give(count int64) {
	memory.used.Add(-count)
}

// fits reports whether so many bytes more are within the bound now.
func (memory *memory) fits(count int64) bool {
	return memory.most <= 0 || memory.used.Load()+count <= memory.most
}

// metered reads a body, and counts what comes.
type metered struct {
	io.Reader

	memory *memory
	// taken is what was counted, in bytes.
	taken int64
}

// Read implements io.Reader.
func (metered *metered) Read(buffer []byte) (int, error) {
	count, err := metered.Reader.Read(buffer)
	if !metered.memory.take(int64(count)) {
		return 0, errNoMemory
	}
	metered.taken += int64(count)
	return count, err //nolint:wrapcheck // io.Reader's own errors
}

// release counts no more what was read.
func (metered *metered) release() {
	metered.memory.give(metered.taken)
	metered.taken = 0
}
