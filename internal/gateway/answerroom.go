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
