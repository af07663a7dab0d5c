package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Maximum sizes of response bodies that are read, in bytes.
const (
	maxErrorBody = 4 << 10
	maxPageBody  = 64 << 20
)

var _ Log = (*HTTPLog)(nil)

// HTTPLog implements Log for one stream of the log service over HTTP.
type HTTPLog struct {
	client *http.Client
	base   string
	wait   time.Duration
}

// NewHTTPLog returns a client of a stream of the log service at the base URL.
// A read at the end of the stream waits at the service, up to wait, for an entry.
func NewHTTPLog(client *http.Client, base, stream string, wait time.Duration) *HTTPLog {
	return &HTTPLog{
		client: client,
		base:   base + "/v1/log/" + url.PathEscape(stream),
		wait:   wait,
	}
}

// Append implements Log.
func (httplog *HTTPLog) Append(ctx context.Context, data []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, httplog.base, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "log: append")
	}
	response, err := httplog.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "log: append")
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return errors.Wrap(newStatusError(response), "log: append")
	}
	return nil
}

// Read implements Log.
func (httplog *HTTPLog) Read(ctx context.Context, from uint64) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(httplog.wait.Milliseconds(), 10)},
	}
	var page Page
	err := getJSON(ctx, httplog.client, httplog.base+"?"+query.Encode(), &page)
	if err != nil {
		return Page{}, errors.Wrap(err, "log: read")
	}
	if from < page.First {
		return Page{}, &ExpiredError{Requested: from, First: page.First}
	}
	return page, nil
}

// StatusError is a response with another status than 200. Body is truncated to 4 KB.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// newStatusError returns the error for a response, and reads its body.
func newStatusError(response *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	return &StatusError{
		Status: response.StatusCode,
		Body:   string(bytes.TrimSpace(body)),
	}
}

// getJSON decodes the JSON body of a GET request into value, and returns a *StatusError for another status than 200.
func getJSON(ctx context.Context, client *http.Client, address string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return newStatusError(response)
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(response.Body, maxPageBody)).Decode(value))
}

// closeBody reads the rest of a short body, so that the connection can be
// reused, and closes it.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBody)
	_ = response.Body.Close()
}
