// Package fingerprint identifies requests and the parts that prompts share by their content,
// independent of the IDs of requests and of the VMs that receive them.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint is a hash of a caller's request, or of a part that prompts share. Equal ones have equal
// fingerprints on all VMs. Two different ones collide with a chance of 1 in 2^64. A caller cannot aim
// for a collision with another organisation's requests, since the organisation's name is hashed too.
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

// partTag separates the hashes of parts from those of requests, which begin with a digit.
const partTag = "part "

// NewPart returns the fingerprint of a part of the prompts to a service. Prompts of several
// organisations may share a part.
func NewPart(service, id string) Fingerprint {
	digest := sha256.Sum256(fmt.Appendf(nil, "%s%d:%s%s", partTag, len(service), service, id))
	return Fingerprint(max(1, binary.BigEndian.Uint64(digest[:])))
}

// Set has the fingerprints of one request.
type Set struct {
	// Request is that of the whole request.
	Request Fingerprint
	// Parts has those of the parts that its prompt may share with others, each once.
	Parts []Fingerprint
}

// NewSet returns the fingerprints of a request to a service whose prompt has the given shared parts.
func NewSet(request Request, service string, sharedParts []string) Set {
	set := Set{Request: New(request)}
	for _, id := range sharedParts {
		set.Parts = append(set.Parts, NewPart(service, id))
	}
	return set
}

// All returns all fingerprints, that of the whole request first.
func (set Set) All() []Fingerprint {
	return append([]Fingerprint{set.Request}, set.Parts...)
}

// String returns the fingerprint as 16 hexadecimal digits, as in log lines.
func (fingerprint Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fingerprint))
}
