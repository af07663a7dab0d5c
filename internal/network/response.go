package network

import "net/http"

// StatesEnd reports whether a response states its own end, by a length or by chunks, so that it does not end with its connection. One
// without a body does.
func StatesEnd(response *http.Response) bool {
	isHead := response.Request != nil && response.Request.Method == http.MethodHead
	return isHead || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
