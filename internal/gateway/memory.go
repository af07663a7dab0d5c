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

// smallAnswer is up to which size answers are read at once: as much lies in buffers in any case, in bytes.
const smallAnswer = 16 << 10

// answerRoom bounds what the VM keeps of answers of plain services. A server is read further only once there is room, since
// its answer is ready and is wanted; small answers wait for none.
type answerRoom struct {
	// most is in bytes.
	most int64
	room *semaphore.Weighted
	used atomic.Int64
}

// newAnswerRoom returns a bound of so many bytes, or none for zero.
func newAnswerRoom(most int64) *answerRoom {
	if most <= 0 {
		most = math.MaxInt64
	}
	return &answerRoom{most: most, room: semaphore.NewWeighted(most)}
}

// read reads an answer of at most so many bytes, and one more of a longer one. What it returns is kept until release is
// called. While it waits for room the server's silence says nothing of it.
func (answerRoom *answerRoom) read(ctx context.Context, attempted *attempted, most int64) (body []byte, release func(), err error) {
	release = func() {}
	answer := attempted.response
	start, err := io.ReadAll(io.LimitReader(answer, min(most, smallAnswer)+1))
	if err != nil || len(start) <= smallAnswer {
		return start, release, errors.WithStack(err)
	}
	need := most
	if size, stated := answer.Size(); stated {
		need = min(need, size)
	}
	need = min(need, answerRoom.most)
	attempted.rest()
	if err := answerRoom.room.Acquire(ctx, need); err != nil {
		return nil, release, errors.Wrap(err, "room for the answer")
	}
	attempted.expect(attempted.patience)
	answerRoom.used.Add(need)
	release = func() {
		answerRoom.used.Add(-need)
		answerRoom.room.Release(need)
	}
	whole := bytes.NewBuffer(start)
	_, err = io.Copy(whole, io.LimitReader(answer, most+1-int64(len(start))))
	return whole.Bytes(), release, errors.WithStack(err)
}
