package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errNoMemory is returned when the memory limit for bodies is reached.
var errNoMemory = errors.New("memory limit for request bodies reached")

// memory limits the memory for buffered data of all requests together. Data of a slow caller
// or server is kept until the peer has sent or read it all, so that the total grows with the number
// of slow peers. It is safe for concurrent use.
type memory struct {
	// most is the limit in bytes; zero means no limit.
	most int64
	used atomic.Int64
}

// take counts the given number of bytes and reports true, or counts nothing and reports
// false if they would exceed the limit.
func (memoryLimit *memory) take(byteCount int64) bool {
	if memoryLimit.used.Add(byteCount) > memoryLimit.most && memoryLimit.most > 0 {
		memoryLimit.give(byteCount)
		return false
	}
	return true
}

// give frees bytes counted by tryAcquire.
func (memoryLimit *memory) give(byteCount int64) {
	memoryLimit.used.Add(-byteCount)
}

// fits reports whether the given number of bytes would be within the limit now. It counts nothing.
func (memoryLimit *memory) fits(byteCount int64) bool {
	return memoryLimit.most <= 0 || memoryLimit.used.Load()+byteCount <= memoryLimit.most
}

// metered reads a body and counts the bytes read against a memory limit.
type metered struct {
	io.Reader

	memory *memory
	// taken is the number of bytes counted so far.
	taken int64
}

// Read implements io.Reader. It returns errNoMemory when the limit is reached.
func (meteredReader *metered) Read(buffer []byte) (int, error) {
	byteCount, err := meteredReader.Reader.Read(buffer)
	if !meteredReader.memory.take(int64(byteCount)) {
		return 0, errNoMemory
	}
	meteredReader.taken += int64(byteCount)
	return byteCount, err //nolint:wrapcheck // an io.Reader must return io.EOF unwrapped
}

// release returns the counted bytes to the limit.
func (meteredReader *metered) release() {
	meteredReader.memory.give(meteredReader.taken)
	meteredReader.taken = 0
}
