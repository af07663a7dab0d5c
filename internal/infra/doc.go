// Package infra is the interface to what the platform gives: its
// append-only log, its VM list and its weight store. Each is a small interface
// with one adapter for HTTP.
package infra
