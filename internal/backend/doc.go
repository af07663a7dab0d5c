// Package backend is the interface to backend servers: model engines, which
// answer a prompt with a stream of tokens, and plain services, which answer a
// call. Each has one adapter for HTTP.
package backend
