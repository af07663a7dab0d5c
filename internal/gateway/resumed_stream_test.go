package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerThatIsNoStreamIsNotWrittenIntoOne guards against a response that is no stream, to the attempt that resumes a started one,
// being written into that stream.
func TestAnswerThatIsNoStreamIsNotWrittenIntoOne(t *testing.T) {
	for name, second := range map[string]backend{
		"success of another type": responses(http.StatusOK, "id: 3\ndata: other\n\n"),
		"404":                     responses(http.StatusNotFound, "no such stream"),
		"500":                     responses(http.StatusInternalServerError, "failed"),
		"not run":                 refuse(http.StatusServiceUnavailable),
		"empty success":           responses(http.StatusNoContent, ""),
	} {
		t.Run(name, func(t *testing.T) {
			script := firstThen(streamEvents(5, 2), second)
			withHarness(t, map[string]backend{"one": script, "two": script}, nil, func(harness *harness) {
				got := harness.query(streamRequest("chat"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, !got.complete)
				assert.Equal(t, got.body, completeStream(2))
			})
		})
	}
}
