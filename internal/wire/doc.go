// Package wire holds the types that go to the platform's log and between the
// system's processes. Everything but this file is generated from
// proto/wire.proto.
package wire
