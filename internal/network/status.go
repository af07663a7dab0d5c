package network

import (
	"bufio"
	"fmt"
	"net/http"
)

// Limits of the status of a response.
const (
	minStatus = 100
	maxStatus = 599
)

// StatusLineError is the error of a response whose status is no status of HTTP.
type StatusLineError struct {
	Status int
}

// Error implements error.
func (e *StatusLineError) Error() string {
	return fmt.Sprintf("%03d is no status of a response", e.Status)
}

// CheckStatus returns a *StatusLineError unless the status of a response is one of HTTP, from 100 to 599. Bytes with another one are no
// response, however sound the rest looks; net/http takes any three digits.
func CheckStatus(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &StatusLineError{Status: response.StatusCode}
	}
	return nil
}

// ReadResponse reads the head of a response to a request, like http.ReadResponse, and checks its status.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err //nolint:wrapcheck // callers know the address
	}
	if err := CheckStatus(response); err != nil {
		return nil, err
	}
	return response, nil
}
