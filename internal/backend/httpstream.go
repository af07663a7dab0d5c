package backend

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

var _ Stream = (*httpStream)(nil)

// httpStream decodes frames from lines of JSON.
type httpStream struct {
	response *http.Response
	// body is limited to maxFrameBytes for each frame.
	body    *io.LimitedReader
	decoder *json.Decoder
	// ended is whether the last frame was read.
	ended bool
}

func newHTTPStream(response *http.Response) *httpStream {
	body := &io.LimitedReader{R: bufio.NewReaderSize(response.Body, frameBufferBytes)}
	return &httpStream{response: response, body: body, decoder: json.NewDecoder(body)}
}

// Next implements Stream.
func (httpstream *httpStream) Next() (Frame, error) {
	httpstream.body.N = maxFrameBytes
	var frame Frame
	err := httpstream.decoder.Decode(&frame)
	if err != nil && httpstream.body.N == 0 {
		err = errors.Newf("frame exceeds %d bytes", maxFrameBytes)
	}
	httpstream.ended = err == nil && frame.End != EndNone
	return frame, errors.Wrap(err, "read stream")
}

// Organisation implements Stream.
func (httpstream *httpStream) Organisation() string {
	return httpstream.response.Header.Get(HeaderOrganisation)
}

// Request implements Stream.
func (httpstream *httpStream) Request() string {
	return httpstream.response.Header.Get(HeaderRequest)
}

// TimeLeft implements Stream.
func (httpstream *httpStream) TimeLeft() time.Duration {
	milliseconds, _ := strconv.ParseInt(httpstream.response.Header.Get(HeaderTimeLeft), 10, 64)
	return time.Duration(milliseconds) * time.Millisecond
}

// Close implements Stream. The connection is reused only if the stream has ended.
func (httpstream *httpStream) Close() {
	if httpstream.ended {
		closeBody(httpstream.response)
		return
	}
	_ = httpstream.response.Body.Close()
}
