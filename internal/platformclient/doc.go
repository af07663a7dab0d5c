// Package platformclient has clients of the platform's services: the append-only log and
// the VM list. Each is a small interface with one implementation over HTTP.
package platformclient
