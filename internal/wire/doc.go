// Package wire holds the types that go to the platform's log and between the
// system's processes. They come from
// proto/wire.proto, by make generate.
package wire
