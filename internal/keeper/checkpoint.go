package keeper

import (
	"crypto/rand"
	"maps"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// checkpointPartBytes is the maximum data size of one part of a checkpoint, well
// below the maximum entry size of the log.
const checkpointPartBytes = 256 << 10

// splitCheckpoint encodes a checkpoint of state as one or more log entries.
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

// checkpointReader assembles checkpoints from the entries of the checkpoint
// stream, which are added in order.
type checkpointReader struct {
	// parts has the parts read so far of each incomplete checkpoint, by writer.
	parts map[string][]*wire.CheckpointPart
	// newest is the complete checkpoint with the highest next offset, or nil.
	newest *wire.State
}

func newCheckpointReader() *checkpointReader {
	return &checkpointReader{parts: make(map[string][]*wire.CheckpointPart)}
}

// add processes the next entry and reports whether it completed a checkpoint.
// Entries that are not checkpoint parts, and duplicate parts of an incomplete checkpoint, are ignored.
func (reader *checkpointReader) add(entry platformclient.Entry) bool {
	part := &wire.CheckpointPart{}
	err := proto.Unmarshal(entry.Data, part)
	if err != nil || part.GetWriter() == "" {
		return false
	}
	parts := reader.parts[part.GetWriter()]
	if int(part.GetPart()) != len(parts) {
		return false
	}
	parts = append(parts, part)
	reader.parts[part.GetWriter()] = parts
	if len(parts) < int(part.GetParts()) {
		return false
	}
	delete(reader.parts, part.GetWriter())
	var data []byte
	for _, part := range parts {
		data = append(data, part.GetData()...)
	}
	state := &wire.State{}
	err = proto.Unmarshal(data, state)
	if err != nil {
		return false
	}
	if state.GetNextOffset() >= reader.newest.GetNextOffset() {
		reader.newest = state
	}
	reader.forgetAbandoned()
	return true
}

// forgetAbandoned drops the parts of incomplete checkpoints that are older than the newest complete
// one: their writers have given up, or they are duplicates.
func (reader *checkpointReader) forgetAbandoned() {
	maps.DeleteFunc(reader.parts, func(_ string, parts []*wire.CheckpointPart) bool {
		return parts[0].GetNextOffset() < reader.newest.GetNextOffset()
	})
}
