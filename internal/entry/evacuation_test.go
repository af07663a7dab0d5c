package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/request"
)

// ask sends a request to an entry, and returns the status and the body of its answer.
func (node *node) ask(method, path, body string) (int, string) {
	asked := httptest.NewRequest(method, path, strings.NewReader(body))
	asked.Header.Set(HeaderOrganisation, testOrganisation)
	recorder := httptest.NewRecorder()
	node.entry.Handler().ServeHTTP(recorder, asked)
	return recorder.Code, recorder.Body.String()
}

// call calls the service so often at all entries in turn, and returns how often each server was called, and how many calls
// were completed.
func (world *world) call(t *testing.T, times int) (called map[string]int, completed int) {
	t.Helper()
	world.mu.Lock()
	world.called = make(map[string]int)
	world.mu.Unlock()
	for number := range times {
		repeatable := true
		body, err := json.Marshal(request.Call{Body: "b", TimeMS: time.Second.Milliseconds(), Repeatable: &repeatable})
		assert.NilError(t, err)
		status, _ := world.nodes[number%nodeCount].ask(http.MethodPost, "/v1/services/"+testService, string(body))
		if status == http.StatusOK {
			completed++
		}
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.called, completed
}

// change orders a change at an entry, and returns its version, or the status of a refusal.
func (node *node) change(t *testing.T, method, path string) (version uint64, refused int) {
	t.Helper()
	status, body := node.ask(method, path, "")
	if status != http.StatusOK {
		return 0, status
	}
	var change Change
	assert.NilError(t, json.Unmarshal([]byte(body), &change))
	return change.Version, 0
}

// TestEvacuation evacuates data centres at one entry: no entry sends anything there, what is left serves, and with nothing
// left calls are refused. After the end of it all servers are called again.
func TestEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(noMutant{})
		defer world.end()
		operated := world.nodes[0]
		called, completed := world.call(t, 30)
		assert.Equal(t, completed, 30)
		assert.Equal(t, len(called), 2)

		_, refused := operated.change(t, http.MethodPut, "/v1/admin/evacuations/nowhere")
		assert.Equal(t, refused, http.StatusNotFound)
		north, refused := operated.change(t, http.MethodPut, "/v1/admin/evacuations/north")
		assert.Equal(t, refused, 0)
		_, refused = world.nodes[1].change(t, http.MethodPut, "/v1/admin/evacuations/north")
		assert.Equal(t, refused, http.StatusConflict)
		called, completed = world.call(t, 30)
		assert.Equal(t, completed, 30)
		assert.DeepEqual(t, called, map[string]int{"receipts-1": 30})

		status, body := world.nodes[2].ask(http.MethodGet, "/v1/admin/evacuations/south", "")
		assert.Equal(t, status, http.StatusOK)
		var plan EvacuationPlan
		assert.NilError(t, json.Unmarshal([]byte(body), &plan))
		assert.DeepEqual(t, plan, EvacuationPlan{DataCentre: "south", Kinds: []KindPlan{{Kind: infra.KindService, There: 1}}})
		_, refused = operated.change(t, http.MethodPut, "/v1/admin/evacuations/south")
		assert.Equal(t, refused, 0)
		called, completed = world.call(t, 3)
		assert.Equal(t, completed, 0)
		assert.Equal(t, len(called), 0)

		_, refused = operated.change(t, http.MethodDelete, "/v1/admin/evacuations/north?version=1")
		assert.Equal(t, refused, http.StatusConflict)
		_, refused = operated.change(t, http.MethodDelete, fmt.Sprintf("/v1/admin/evacuations/north?version=%d", north))
		assert.Equal(t, refused, 0)
		called, completed = world.call(t, 30)
		assert.Equal(t, completed, 30)
		assert.DeepEqual(t, called, map[string]int{"receipts-0": 30})
	})
}
