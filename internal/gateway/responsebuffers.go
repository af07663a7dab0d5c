package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// smallResponseBytes is the size up to which responses are read without acquiring memory, in bytes.
// Network buffers hold as much in any case.
const smallResponseBytes = 16 << 10

// responseBuffers limits the memory for buffered responses of plain services, which run no model. A
// larger response is read only once there is memory for it: it is complete at the server and needed
// by a caller, so that it is delayed rather than rejected. Small responses do not wait.
type responseBuffers struct {
	// maxBytes is the limit in bytes.
	maxBytes  int64
	capacity  *semaphore.Weighted
	usedBytes atomic.Int64
}

// newResponseBuffers returns a limit of the given number of bytes; zero means no limit.
func newResponseBuffers(maxBytes int64) *responseBuffers {
	if maxBytes <= 0 {
		maxBytes = math.MaxInt64
	}
	return &responseBuffers{maxBytes: maxBytes, capacity: semaphore.NewWeighted(maxBytes)}
}

// read reads a response of at most the given number of bytes; of a longer one it returns one byte
// more. The bytes count against the limit until release is called. The attempt's watchdog is
// stopped while read waits for memory, because the server is not being read then.
func (responseBuffers *responseBuffers) read(ctx context.Context, activeAttempt *activeAttempt, maxBytes int64) (body []byte, release func(), err error) {
	release = func() {}
	source := activeAttempt.response
	prefix, err := io.ReadAll(io.LimitReader(source, min(maxBytes, smallResponseBytes)+1))
	if err != nil || len(prefix) <= smallResponseBytes {
		return prefix, release, errors.WithStack(err)
	}
	size := maxBytes
	if contentLength, stated := source.Size(); stated {
		size = min(size, contentLength)
	}
	size = min(size, responseBuffers.maxBytes)
	activeAttempt.stopWatchdog()
	if err := responseBuffers.capacity.Acquire(ctx, size); err != nil {
		return nil, release, errors.Wrap(err, "wait for response buffer memory")
	}
	activeAttempt.restartWatchdog(activeAttempt.responseTimeout)
	responseBuffers.usedBytes.Add(size)
	release = func() {
		responseBuffers.usedBytes.Add(-size)
		responseBuffers.capacity.Release(size)
	}
	buffer := bytes.NewBuffer(prefix)
	_, err = io.Copy(buffer, io.LimitReader(source, maxBytes+1-int64(len(prefix))))
	return buffer.Bytes(), release, errors.WithStack(err)
}
