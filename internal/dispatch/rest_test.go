package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// TestServersThatRestFromAVM: a server that rests from a VM is not chosen for that VM, whatever failed the request,
// and still is for the others.
func TestServersThatRestFromAVM(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		resting []string
		tried   []string
		want    string
	}{
		"none rests":                    {want: "a"},
		"one rests":                     {resting: []string{"a"}, want: "b"},
		"the other one failed it":       {resting: []string{"a"}, tried: []string{"b"}, want: "b"},
		"all that do not rest failed":   {resting: []string{"a"}, tried: []string{"a", "b"}, want: "b"},
		"all rest":                      {resting: []string{"a", "b"}},
		"all rest, and failed it too":   {resting: []string{"a", "b"}, tried: []string{"a", "b"}},
		"all failed it, and none rests": {tried: []string{"a", "b"}, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			servers := &believed{
				servers: []placement.Server{{ID: "a", Slots: 16}, {ID: "b", Slots: 16}}, resting: map[string][]string{"vm": test.resting},
			}
			queue := dispatch.New(slots{})
			request := newRequest(1, 1000, now.Add(time.Second), false)
			request.Tried = test.tried
			verdict, placed := queue.Offer(request, servers, now)
			assert.Equal(t, placed, test.want != "")
			assert.Equal(t, verdict.Plan.Server.ID, test.want)
			other := newRequest(1, 1000, now.Add(time.Second), false)
			other.VM = "other"
			verdict, _ = queue.Offer(other, servers, now)
			assert.Equal(t, verdict.Plan.Server.ID, "a")
		})
	}
}
