// Package link carries frames between the system's own processes over QUIC:
// one connection and one stream for each pair, encrypted, both ends proven by
// a secret that all processes share.
package link
