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

	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/request"
)

// sendRequest sends an HTTP request to the entry of the node, and returns the status and the body of the response.
func (node *node) sendRequest(method, path, body string) (int, string) {
	httpRequest := httptest.NewRequest(method, path, strings.NewReader(body))
	httpRequest.Header.Set(HeaderOrganisation, testOrganisation)
	recorder := httptest.NewRecorder()
	node.entry.Handler().ServeHTTP(recorder, httpRequest)
	return recorder.Code, recorder.Body.String()
}

// callService sends the given number of service calls to the entries in turn. It returns the number of calls that each server
// received, and the number of completed calls.
func (cluster *cluster) callService(t *testing.T, times int) (called map[string]int, completed int) {
	t.Helper()
	cluster.mu.Lock()
	cluster.callsByServer = make(map[string]int)
	cluster.mu.Unlock()
	for number := range times {
		repeatable := true
		body, err := json.Marshal(request.Call{Body: "b", TimeMS: time.Second.Milliseconds(), Repeatable: &repeatable})
		assert.NilError(t, err)
		status, _ := cluster.nodes[number%nodeCount].sendRequest(http.MethodPost, "/v1/services/"+testService, string(body))
		if status == http.StatusOK {
			completed++
		}
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.callsByServer, completed
}

// requestChange requests a configuration change at the entry of the node. It returns the version of the change, or the HTTP
// status of the refusal.
func (node *node) requestChange(t *testing.T, method, path string) (version uint64, refusedStatus int) {
	t.Helper()
	status, body := node.sendRequest(method, path, "")
	if status != http.StatusOK {
		return 0, status
	}
	var change Change
	assert.NilError(t, json.Unmarshal([]byte(body), &change))
	return change.Version, 0
}

// TestEvacuation evacuates data centres through one entry. No entry may send calls to an evacuated data centre, the
// others serve all calls, and calls are refused if no data centre is left. When an evacuation ends, its servers get
// calls again.
func TestEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(noMutant{})
		defer cluster.stopAll()
		adminNode := cluster.nodes[0]
		called, completed := cluster.callService(t, 30)
		assert.Equal(t, completed, 30)
		assert.Equal(t, len(called), 2)

		_, refused := adminNode.requestChange(t, http.MethodPut, "/v1/admin/evacuations/nowhere")
		assert.Equal(t, refused, http.StatusNotFound)
		north, refused := adminNode.requestChange(t, http.MethodPut, "/v1/admin/evacuations/north")
		assert.Equal(t, refused, 0)
		_, refused = cluster.nodes[1].requestChange(t, http.MethodPut, "/v1/admin/evacuations/north")
		assert.Equal(t, refused, http.StatusConflict)
		called, completed = cluster.callService(t, 30)
		assert.Equal(t, completed, 30)
		assert.DeepEqual(t, called, map[string]int{"receipts-1": 30})

		status, body := cluster.nodes[2].sendRequest(http.MethodGet, "/v1/admin/evacuations/south", "")
		assert.Equal(t, status, http.StatusOK)
		var plan EvacuationPlan
		assert.NilError(t, json.Unmarshal([]byte(body), &plan))
		assert.DeepEqual(t, plan, EvacuationPlan{DataCentre: "south", Kinds: []KindPlan{{Kind: platformclient.KindService, InDataCentre: 1}}})
		_, refused = adminNode.requestChange(t, http.MethodPut, "/v1/admin/evacuations/south")
		assert.Equal(t, refused, 0)
		called, completed = cluster.callService(t, 3)
		assert.Equal(t, completed, 0)
		assert.Equal(t, len(called), 0)

		_, refused = adminNode.requestChange(t, http.MethodDelete, "/v1/admin/evacuations/north?version=1")
		assert.Equal(t, refused, http.StatusConflict)
		_, refused = adminNode.requestChange(t, http.MethodDelete, fmt.Sprintf("/v1/admin/evacuations/north?version=%d", north))
		assert.Equal(t, refused, 0)
		called, completed = cluster.callService(t, 30)
		assert.Equal(t, completed, 30)
		assert.DeepEqual(t, called, map[string]int{"receipts-0": 30})
	})
}
