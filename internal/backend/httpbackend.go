package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
)

// Limits of connections to backend servers and of the responses read from them.
const (
	dialTimeout      = time.Second
	idleConnsPerHost = 256
	idleTimeout      = 30 * time.Second
	maxCallBody      = 16 << 20
	maxErrorBody     = 64 << 10
	frameBufferBytes = 4 << 10
	// maxFrameBytes bounds a frame, and what may stand before it.
	maxFrameBytes = 256 << 10
	// drainTime is how long a server may take for the end of a response whose content is known.
	drainTime = 50 * time.Millisecond
)

var (
	_ Engine  = (*HTTPBackend)(nil)
	_ Service = (*HTTPBackend)(nil)
)

// HTTPBackend is a client for engines and services over HTTP.
type HTTPBackend struct {
	// pooled reuses connections. It is used for dispatches to backend servers whose responses
	// echo the ID of their attempt, and for loads, where a late response is only an older load.
	pooled *http.Client
	// unpooled uses each connection once. It is used for dispatches that may run at most
	// once: a failed server is then detected when connecting, before anything is sent. It is
	// also used where a late response could not be told from the one that is due.
	unpooled *http.Client
	// echoing has the backend servers whose last response echoed the ID of its attempt.
	echoing *echoing
}

// NewHTTPBackend returns a client with its own connection pool.
func NewHTTPBackend() *HTTPBackend {
	return &HTTPBackend{
		pooled:   newClient(false),
		unpooled: newClient(true),
		echoing:  newEchoing(time.Now),
	}
}

func newClient(disableKeepAlives bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: network.MaxHeadBytes,
		DisableCompression:     true,
		DisableKeepAlives:      disableKeepAlives,
	}}
}

// HasEnded reports whether the process at an address is known to have ended: its port refuses connections.
func (*HTTPBackend) HasEnded(ctx context.Context, address string) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	return network.IsRefused(err)
}

// Generate implements Engine.
func (httpbackend *HTTPBackend) Generate(ctx context.Context, address string, dispatch Dispatch) (Stream, error) {
	response, err := httpbackend.dispatch(ctx, address, "/v1/streams", dispatch) //nolint:bodyclose // the stream closes it
	if err != nil {
		return nil, err
	}
	return newHTTPStream(response), nil
}

// Call implements Service.
func (httpbackend *HTTPBackend) Call(ctx context.Context, address string, dispatch Dispatch) ([]byte, error) {
	response, err := httpbackend.dispatch(ctx, address, "/v1/calls", dispatch)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	if !network.StatesEnd(response) {
		return nil, errors.Newf("backend server %s: response states neither a length nor chunks", address)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxCallBody+1))
	if err == nil && len(body) > maxCallBody {
		return nil, errors.Newf("backend server %s: response exceeds %d bytes", address, maxCallBody)
	}
	return body, errors.Wrapf(err, "backend server %s: read response", address)
}

// dispatch sends a request to run. net/http retries a POST only if nothing of it was
// written.
func (httpbackend *HTTPBackend) dispatch(
	ctx context.Context, address, path string, dispatch Dispatch,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(dispatch.Body))
	if err != nil {
		return nil, &NotRunError{Address: address, Reason: err.Error()}
	}
	dispatch.setHeaders(request.Header)
	client := httpbackend.pooled
	if dispatch.Key != "" || !httpbackend.echoing.has(address) {
		client = httpbackend.unpooled
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, newDispatchError(address, err)
	}
	if err := httpbackend.checkEcho(address, dispatch.Attempt, response.Header.Get(HeaderAttempt), client == httpbackend.pooled); err != nil {
		_ = response.Body.Close() // with bytes left, it closes the connection too
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response)
	return nil, newStatusError(address, response)
}

// checkEcho returns an error if a response is not that to an attempt by the ID that it echoes. A response without one, of a backend
// server of an earlier version, is right if its connection was not reused.
func (httpbackend *HTTPBackend) checkEcho(address, attempt, echoed string, reused bool) error {
	switch {
	case echoed == attempt:
		httpbackend.echoing.add(address)
		return nil
	case echoed == "" && !reused:
		return nil
	default:
		httpbackend.echoing.remove(address)
		return &OtherAttemptError{Address: address, Attempt: attempt, Echoed: echoed}
	}
}

// setHeaders sets the headers of the backend protocol.
func (dispatch Dispatch) setHeaders(header http.Header) {
	header.Set(HeaderAttempt, dispatch.Attempt)
	header.Set(HeaderRequest, dispatch.Request)
	header.Set(HeaderOrganisation, dispatch.Organisation)
	header.Set(HeaderOwner, dispatch.Owner)
	header.Set(HeaderTimeLeft, strconv.FormatInt(dispatch.TimeLeft.Milliseconds(), 10))
	setOptional(header, HeaderSession, dispatch.Session)
	setOptional(header, HeaderGroup, dispatch.Group)
	if dispatch.Model != "" {
		header.Set(HeaderModel, dispatch.Model)
		header.Set(HeaderMaxTokens, strconv.Itoa(dispatch.MaxTokens))
		header.Set(HeaderFrom, strconv.Itoa(dispatch.From))
		header.Set(HeaderPriority, strconv.Itoa(dispatch.Priority))
	}
	if dispatch.Key != "" {
		header.Set(HeaderKey, dispatch.Key)
		header.Set(HeaderFence, strconv.FormatUint(dispatch.Fence, 10))
	}
}

func setOptional(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// newDispatchError returns a *NotRunError if the connection could not be established,
// since the request then certainly did not run, and wraps other errors.
func newDispatchError(address string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &NotRunError{Address: address, Reason: err.Error(), Unreachable: true}
	}
	return errors.Wrapf(err, "backend server %s", address)
}

// newStatusError returns a *NotRunError if the body says that the request was not run,
// and a *StatusError otherwise.
func newStatusError(address string, response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var refusal Refusal
	err := json.Unmarshal(body, &refusal)
	if err == nil && refusal.NotRun {
		return &NotRunError{Address: address, Reason: refusal.Reason, Draining: refusal.Draining}
	}
	return &StatusError{Address: address, Status: response.StatusCode, Body: string(bytes.TrimSpace(body))}
}

// Resume implements Engine.
func (httpbackend *HTTPBackend) Resume(ctx context.Context, address, attempt string, from int) (Stream, error) {
	path := "/v1/streams/" + url.PathEscape(attempt) + "?from=" + strconv.Itoa(from)
	response, err := send(ctx, httpbackend.unpooled, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return newHTTPStream(response), nil
	}
	defer closeBody(response)
	if response.StatusCode == http.StatusNotFound {
		return nil, &NotFoundError{Address: address, Attempt: attempt}
	}
	return nil, newStatusError(address, response)
}

// Cancel implements Engine.
func (httpbackend *HTTPBackend) Cancel(ctx context.Context, address, attempt string) error {
	return httpbackend.sendIdempotent(ctx, http.MethodDelete, address, "/v1/streams/"+url.PathEscape(attempt), nil)
}

// Streams implements Engine.
func (httpbackend *HTTPBackend) Streams(ctx context.Context, address string) ([]StreamInfo, error) {
	var infos []StreamInfo
	err := getJSON(ctx, httpbackend.unpooled, address, "/v1/streams", &infos)
	return infos, err
}

// Reserve implements Engine.
func (httpbackend *HTTPBackend) Reserve(ctx context.Context, address, id string, reservation Reservation) error {
	body, err := json.Marshal(reservation)
	if err != nil {
		return errors.WithStack(err)
	}
	return httpbackend.sendIdempotent(ctx, http.MethodPut, address, "/v1/reservations/"+url.PathEscape(id), body)
}

// Release implements Engine.
func (httpbackend *HTTPBackend) Release(ctx context.Context, address, id string) error {
	return httpbackend.sendIdempotent(ctx, http.MethodDelete, address, "/v1/reservations/"+url.PathEscape(id), nil)
}

// Load implements Engine.
func (httpbackend *HTTPBackend) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := getJSON(ctx, httpbackend.pooled, address, "/v1/load", &load)
	return load, err
}

// getJSON decodes the JSON response to a GET request into value.
func getJSON(ctx context.Context, client *http.Client, address, path string, value any) error {
	response, err := send(ctx, client, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return newStatusError(address, response)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxCallBody)).Decode(value)
	return errors.Wrapf(err, "backend server %s", address)
}

// sendIdempotent sends an idempotent request. A response that the resource does not
// exist counts as success.
func (httpbackend *HTTPBackend) sendIdempotent(ctx context.Context, method, address, path string, body []byte) error {
	response, err := send(ctx, httpbackend.unpooled, method, address, path, body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound {
		return nil
	}
	return newStatusError(address, response)
}

// send sends a request.
func send(
	ctx context.Context, client *http.Client, method, address, path string, body []byte,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "backend server %s", address)
	}
	response, err := client.Do(request)
	return response, errors.Wrapf(err, "backend server %s", address)
}

// closeBody reads the rest of the body, up to a limit and for up to drainTime, and closes it, so that the
// connection can be reused.
func closeBody(response *http.Response) {
	timer := time.AfterFunc(drainTime, func() { _ = response.Body.Close() }) // unblocks the read
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBody)
	_ = response.Body.Close()
}
