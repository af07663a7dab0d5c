package ejection_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/ejection"
)

// TestState guards against ejections that begin too early, last too long or don't end after a success,
// and against more than one probe at a time.
func TestState(t *testing.T) {
	limits := ejection.Limits{After: 2, Time: time.Second, TimeMax: 3 * time.Second}
	start := time.Unix(0, 0)
	state := ejection.State{}
	assert.Assert(t, !state.RecordFailure(start, limits))
	assert.Assert(t, state.RecordFailure(start, limits))
	assert.Assert(t, state.Ejected(start.Add(999*time.Millisecond)))
	assert.Assert(t, !state.Ejected(start.Add(time.Second)))
	state.StartProbe(start.Add(time.Second), limits)
	assert.Assert(t, state.Ejected(start.Add(1500*time.Millisecond)), "only one probe at a time")
	for range 5 {
		state.RecordFailure(start, limits)
	}
	assert.Assert(t, state.Ejected(start.Add(2999*time.Millisecond)))
	assert.Assert(t, !state.Ejected(start.Add(3*time.Second)), "no longer than TimeMax")
	state.RecordSuccess()
	assert.Assert(t, !state.RecordFailure(start, limits))
}
