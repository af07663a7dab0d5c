package platformserver

import (
	"encoding/json"
	"net/http"
)

// report is the body of an engine's report on its load.
type report struct {
	Stage   string `json:"stage"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	KVTotal int    `json:"kv_total"`
}

// serveReport reports the engine's load. It takes no slot and runs nothing.
func (engine *Engine) serveReport(writer http.ResponseWriter) {
	engine.passMu.Lock()
	body := report{
		Stage: "prefill_decode", Waiting: len(engine.queued), Running: len(engine.running), KVTotal: engine.model.MemoryTokens,
	}
	engine.passMu.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body) // the client may have disconnected
}
