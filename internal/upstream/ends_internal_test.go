package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndsOfKindsOfRequests guards against requests that run and whose sound answers can't be told from cut ones, and against ones that
// are kept from a way for nothing.
func TestEndsOfKindsOfRequests(t *testing.T) {
	look, pay, other := Kind{Service: "app", Route: "look"}, Kind{Service: "app", Route: "pay"}, Kind{Service: "other", Route: "look"}
	type seen struct {
		kind   Kind
		stated bool
		ago    time.Duration
	}
	for name, test := range map[string]struct {
		seen []seen
		want bool
	}{
		"nothing is known":                        {},
		"all stated":                              {seen: []seen{{kind: pay, stated: true}}},
		"one of the kind unstated":                {seen: []seen{{kind: pay}}, want: true},
		"one of several unstated":                 {seen: []seen{{kind: pay}, {kind: pay, stated: true}}, want: true},
		"another kind of the service unstated":    {seen: []seen{{kind: look}}, want: true},
		"another kind unstated, all of it stated": {seen: []seen{{kind: look}, {kind: pay, stated: true, ago: time.Minute}}},
		"another service unstated":                {seen: []seen{{kind: other}}},
		"unstated long ago":                       {seen: []seen{{kind: pay, ago: endsRetention}}},
		"unstated for a while":                    {seen: []seen{{kind: pay, ago: endsRetention - 1}}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ends := newEnds(time.Now)
				started := time.Now()
				for _, seen := range test.seen {
					ends.now = func() time.Time { return started.Add(-seen.ago) }
					ends.record(seen.kind, seen.stated)
				}
				ends.now = time.Now
				assert.Equal(t, ends.mayBeUnstated(pay), test.want)
				ends.sweep()
				assert.Equal(t, ends.mayBeUnstated(pay), test.want)
			})
		})
	}
}

func TestEndsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := newEnds(time.Now)
		ends.record(Kind{Service: "app", Route: "pay"}, false)
		ends.record(Kind{Service: "app", Route: "look"}, true)
		time.Sleep(endsRetention)
		ends.sweep()
		assert.Equal(t, len(ends.stated)+len(ends.unstated)+len(ends.services), 0)
	})
}
