// Package backend defines the interfaces to backend servers: model engines, which
// respond to a prompt with a stream of tokens, and plain services, which respond to a
// call with one body. HTTPBackend implements both over HTTP.
package backend
