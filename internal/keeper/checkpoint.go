package keeper

import (
	"crypto/rand"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// checkpointPartBytes is the most that one part of a checkpoint holds, well
// below the size that the log takes.
const checkpointPartBytes = 256 << 10

// splitCheckpoint returns the log entries of a checkpoint of state.
func splitCheckpoint(state *wire.State) ([][]byte, error) {
	data, err := proto.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "checkpoint")
	}
	parts := max(1, (len(data)+checkpointPartBytes-1)/checkpointPartBytes)
	writer := rand.Text()
	entries := make([][]byte, 0, parts)
	for part := range parts {
		end := min(len(data), (part+1)*checkpointPartBytes)
		entry, err := proto.Marshal(&wire.CheckpointPart{
			NextOffset: state.GetNextOffset(),
			Writer:     writer,
			Part:       uint32(part),
			Parts:      uint32(parts), //nolint:gosec // few parts
			Data:       data[part*checkpointPartBytes : end],
		})
		if err != nil {
			return nil, errors.Wrap(err, "checkpoint")
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// checkpointReader puts checkpoints together from the entries of their
// stream, read in order.
type checkpointReader struct {
	// parts has the parts read so far of each writer's checkpoint.
	parts map[string][]*wire.CheckpointPart
	// newest is the whole checkpoint with the highest next offset.
	newest *wire.State
}

func newCheckpointReader() *checkpointReader {
	return &checkpointReader{parts: make(map[string][]*wire.CheckpointPart)}
}

// add takes the next entry and reports whether it made a checkpoint whole.
// Entries that are no part of one are passed over, and so is a part that came
// twice.
func (checkpointreader *checkpointReader) add(entry infra.Entry) bool {
	part := &wire.CheckpointPart{}
	err := proto.Unmarshal(entry.Data, part)
	if err != nil || part.GetWriter() == "" {
		return false
	}
	parts := checkpointreader.parts[part.GetWriter()]
	if int(part.GetPart()) != len(parts) {
		return false
	}
	parts = append(parts, part)
	checkpointreader.parts[part.GetWriter()] = parts
	if len(parts) < int(part.GetParts()) {
		return false
	}
	delete(checkpointreader.parts, part.GetWriter())
	var data []byte
	for _, part := range parts {
		data = append(data, part.GetData()...)
	}
	state := &wire.State{}
	err = proto.Unmarshal(data, state)
	if err != nil {
		return false
	}
	if state.GetNextOffset() >= checkpointreader.newest.GetNextOffset() {
		checkpointreader.newest = state
	}
	return true
}
