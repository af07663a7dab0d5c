package infra

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

// Bounds on what is read from the platform, in bytes.
const (
	maxErrorBody = 4 << 10
	maxPageBody  = 64 << 20
)

var _ Log = (*HTTPLog)(nil)

// HTTPLog is a stream of the log service, reached over HTTP.
type HTTPLog struct {
	client *http.Client
	base   string
	wait   time.Duration
}

// NewHTTPLog returns the stream named stream of the service at base. A read
// that finds nothing waits up to wait at the service.
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
		return Page{}, &ExpiredError{Wanted: from, First: page.First}
	}
	return page, nil
}

// StatusError says that the platform answered with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

func newStatusError(response *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	return &StatusError{
		Status: response.StatusCode,
		Body:   string(bytes.TrimSpace(body)),
	}
}

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

// closeBody drains a little of the body so that the connection can be used
// again, and closes it.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBody)
	_ = response.Body.Close()
}
