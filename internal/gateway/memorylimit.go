package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errBodyMemoryLimit is returned when the memory limit for bodies is reached.
var errBodyMemoryLimit = errors.New("memory limit for request bodies reached")

// memoryLimit limits the memory for buffered data of all requests together. Data of a slow caller
// or server is kept until the peer has sent or read it all, so that the total grows with the number
// of slow peers. It is safe for concurrent use.
type memoryLimit struct {
	// maxBytes is the limit in bytes; zero means no limit.
	maxBytes  int64
	usedBytes atomic.Int64
}

// tryAcquire counts the given number of bytes and reports true, or counts nothing and reports
// false if they would exceed the limit.
func (memoryLimit *memoryLimit) tryAcquire(byteCount int64) bool {
	if memoryLimit.usedBytes.Add(byteCount) > memoryLimit.maxBytes && memoryLimit.maxBytes > 0 {
		memoryLimit.free(byteCount)
		return false
	}
	return true
}

// free frees bytes counted by tryAcquire.
func (memoryLimit *memoryLimit) free(byteCount int64) {
	memoryLimit.usedBytes.Add(-byteCount)
}

// fits reports whether the given number of bytes, added to those counted, would be within the limit
// now. It counts nothing.
func (memoryLimit *memoryLimit) fits(byteCount int64) bool {
	return memoryLimit.maxBytes <= 0 || memoryLimit.usedBytes.Load()+byteCount <= memoryLimit.maxBytes
}

// meteredReader reads a body and counts the bytes read against a memory limit.
type meteredReader struct {
	io.Reader

	memoryLimit *memoryLimit
	// acquiredBytes is the number of bytes counted so far.
	acquiredBytes int64
}

// Read implements io.Reader. It returns errBodyMemoryLimit when the limit is reached.
func (meteredReader *meteredReader) Read(buffer []byte) (int, error) {
	byteCount, err := meteredReader.Reader.Read(buffer)
	if !meteredReader.memoryLimit.tryAcquire(int64(byteCount)) {
		return 0, errBodyMemoryLimit
	}
	meteredReader.acquiredBytes += int64(byteCount)
	return byteCount, err //nolint:wrapcheck // an io.Reader must return io.EOF unwrapped
}

// release returns the counted bytes to the limit.
func (meteredReader *meteredReader) release() {
	meteredReader.memoryLimit.free(meteredReader.acquiredBytes)
	meteredReader.acquiredBytes = 0
}
