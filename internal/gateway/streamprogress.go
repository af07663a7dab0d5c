package gateway

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/events"
)

// maxIdleStreamBytes is how much a server may send of a stream without progress. Comments that keep connections open have a few
// bytes each.
const maxIdleStreamBytes = 64 << 10

// errNoProgress is the error of a stream that got more than maxIdleStreamBytes without progress.
var errNoProgress = errors.New("server sent too much without an event")

// blockUse is what is done with a block of a stream.
type blockUse int

const (
	// blockPassed: an event that the caller has not received; it is passed on with the held blocks.
	blockPassed blockUse = iota
	// blockRepeated: an event that the caller has received, of a stream that was started anew. It is progress.
	blockRepeated
	// blockComment: no event; it is passed on, since an event was before.
	blockComment
	// blockHeld: no event, before the first one. It must not start the response, and is kept for the next event.
	blockHeld
	// blockDropped: an event that this stream had before.
	blockDropped
	// blockExcess: too much came without progress.
	blockExcess
)

// streamProgress decides what is done with the blocks of a stream of one attempt. Only an event with an ID above all before it is
// progress; an ID that is not a number counts as one.
type streamProgress struct {
	// highest is the highest ID of this attempt.
	highest int64
	// started is whether this attempt had an event.
	started bool
	// idleBytes is how much came since the last progress.
	idleBytes int
	// held has the blocks to be passed on with the next event.
	held []byte
}

func newStreamProgress() *streamProgress {
	return &streamProgress{highest: math.MinInt64}
}

// use returns what is done with the next block, where lastEvent is the ID of the last event that the caller received of any attempt.
func (progress *streamProgress) use(block events.Event, lastEvent string) blockUse {
	if progress.advances(block) {
		progress.started, progress.idleBytes = true, 0
		if !isNewEvent(block.ID, lastEvent) {
			return blockRepeated
		}
		return blockPassed
	}
	progress.idleBytes += len(block.Raw)
	switch {
	case progress.idleBytes > maxIdleStreamBytes:
		return blockExcess
	case block.HasData:
		return blockDropped
	case progress.started:
		return blockComment
	default:
		progress.held = append(progress.held, block.Raw...)
		return blockHeld
	}
}

// advances reports whether a block is an event with an ID above all before it.
func (progress *streamProgress) advances(block events.Event) bool {
	if !block.HasData {
		return false
	}
	number, err := strconv.ParseInt(block.ID, 10, 64)
	if err != nil {
		return true
	}
	advances := number > progress.highest
	progress.highest = max(progress.highest, number)
	return advances
}

// takeHeld returns the held blocks, which are held no longer.
func (progress *streamProgress) takeHeld() []byte {
	held := progress.held
	progress.held = nil
	return held
}

// isNewEvent reports whether an event comes after the last one that the caller received. IDs
// increase; an ID that is not a number is always taken as new.
func isNewEvent(id, last string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	return err != nil || number > lastNumber
}
