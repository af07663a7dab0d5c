// Package fingerprint tells whether two requests ask for the same, whichever ID they carry
// and whichever VM they came to.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint stands for what a caller asked. Equal requests have equal ones on all VMs; two
// others share one with a chance of 1 in 2^64, and nobody can aim at another organisation's,
// whose name is part of it.
type Fingerprint uint64

// None is the fingerprint of nothing.
const None Fingerprint = 0

// Request is what counts as the same request. Its ID, deadline and the event after which a
// stream goes on differ between tries and are no part of it.
type Request struct {
	// Organisation is whose key the caller used, or empty.
	Organisation string
	Method       string
	Host         string
	// Target is the path and the query.
	Target string
	Body   []byte
}

// New returns the fingerprint of a request.
func New(request Request) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{request.Organisation, request.Method, request.Host, request.Target} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part) // a digest takes all
	}
	_, _ = digest.Write(request.Body) // as above
	return Fingerprint(max(1, binary.BigEndian.Uint64(digest.Sum(nil))))
}

// String returns it as log lines have it.
func (fingerprint Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fingerprint))
}
