package network_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
)

// TestStatesEnd guards against part of a response passing as the whole, and against whole ones that are taken for cut.
func TestStatesEnd(t *testing.T) {
	for name, test := range map[string]struct {
		method, head string
		want         bool
	}{
		"length":             {method: http.MethodGet, head: "200 OK\r\nContent-Length: 4", want: true},
		"no bytes":           {method: http.MethodGet, head: "200 OK\r\nContent-Length: 0", want: true},
		"chunks":             {method: http.MethodGet, head: "200 OK\r\nTransfer-Encoding: chunked", want: true},
		"neither":            {method: http.MethodGet, head: "200 OK\r\nConnection: close"},
		"neither, to a POST": {method: http.MethodPost, head: "200 OK"},
		"no content":         {method: http.MethodGet, head: "204 No Content", want: true},
		"not modified":       {method: http.MethodGet, head: "304 Not Modified", want: true},
		"to a HEAD":          {method: http.MethodHead, head: "200 OK", want: true},
	} {
		t.Run(name, func(t *testing.T) {
			reader := bufio.NewReader(strings.NewReader("HTTP/1.1 " + test.head + "\r\n\r\n"))
			response, err := http.ReadResponse(reader, &http.Request{Method: test.method})
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, network.StatesEnd(response), test.want)
		})
	}
}
