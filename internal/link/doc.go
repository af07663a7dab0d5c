// Package link exchanges protobuf messages, called frames, between the system's own
// processes over QUIC. Each link is one encrypted connection with one stream. Both
// ends authenticate each other by a secret that all processes share.
package link
