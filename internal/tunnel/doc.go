// Package tunnel connects a VM that reaches no backend server over its own links to servers through another VM. A tunnel
// carries one connection, and neither side knows what is sent through it.
//
// The request for a tunnel is CONNECT as HTTP defines it. Nothing is sent through a tunnel before the other VM has reported
// that it reached the server, so a request whose tunnel failed to open was certainly not sent.
package tunnel
