package backend

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestEchoingForgetsServersThatLeft guards against an entry for each address that a server ever had.
func TestEchoingForgetsServersThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		echoing := newEchoing(time.Now)
		const perMinute = 100
		for number := range 10 * perMinute {
			echoing.add("stays")
			echoing.add(fmt.Sprint(number))
			assert.Assert(t, len(echoing.seen) <= perMinute+2, "%d addresses", len(echoing.seen))
			time.Sleep(time.Minute / perMinute)
		}
		assert.Assert(t, echoing.has("stays"))
		assert.Assert(t, !echoing.has("0"))
		echoing.remove("stays")
		assert.Assert(t, !echoing.has("stays"))
		echoing.add("again")
		time.Sleep(idleTimeout)
		assert.Assert(t, !echoing.has("again"))
	})
}
