// Package fingerprint identifies requests by their content, independent of their IDs and of the VMs
// that receive them.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint is a hash of a caller's request. Equal requests have equal fingerprints on all VMs.
// Two different requests collide with a chance of 1 in 2^64. A caller cannot aim for a collision
// with another organisation's requests, since the organisation's name is hashed too.
type Fingerprint uint64

// None is the fingerprint of no request. New never returns it.
const None Fingerprint = 0

// Request has the parts of a request that are hashed. Its ID, its deadline and the event after
// which a stream resumes differ between attempts and are left out.
type Request struct {
	// Organisation is the name of the organisation whose key the caller used, or empty.
	Organisation string
	Method       string
	Host         string
	// Target is the path and the query.
	Target string
	Body   []byte
}

// New returns the fingerprint of a request: the first 64 bits of a SHA-256 hash, with the length in
// front of each part but the body.
func New(request Request) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{request.Organisation, request.Method, request.Host, request.Target} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part) // a hash never returns an error
	}
	_, _ = digest.Write(request.Body) // as above
	return Fingerprint(max(1, binary.BigEndian.Uint64(digest.Sum(nil))))
}

// String returns the fingerprint as 16 hexadecimal digits, as in log lines.
func (fingerprint Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fingerprint))
}
