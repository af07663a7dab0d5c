package fingerprint_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

func request() fingerprint.Request {
	return fingerprint.Request{
		Organisation: "register", Method: "POST", Host: "register.example", Target: "/chat/x", Body: []byte("prompt"),
	}
}

// TestSameRequestHasTheSameFingerprint guards against unequal fingerprints of one request, and
// against None for an empty one.
func TestSameRequestHasTheSameFingerprint(t *testing.T) {
	assert.Equal(t, fingerprint.New(request()), fingerprint.New(request()))
	assert.Assert(t, fingerprint.New(fingerprint.Request{}) != fingerprint.None)
	assert.Equal(t, len(fingerprint.New(request()).String()), 16)
}

// TestDifferentRequestsHaveDifferentFingerprints guards against parts of a request that are not
// hashed, or not separated from the next part.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	for name, change := range map[string]func(request *fingerprint.Request){
		"organisation": func(request *fingerprint.Request) { request.Organisation = "courts" },
		"method":       func(request *fingerprint.Request) { request.Method = "PUT" },
		"host":         func(request *fingerprint.Request) { request.Host = "courts.example" },
		"target":       func(request *fingerprint.Request) { request.Target = "/chat/y" },
		"body":         func(request *fingerprint.Request) { request.Body = []byte("promptly") },
		"bytes moved from body to target": func(request *fingerprint.Request) {
			request.Target, request.Body = "/chat/xprompt", nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			changed := request()
			change(&changed)
			assert.Assert(t, fingerprint.New(changed) != fingerprint.New(request()))
		})
	}
}

// BenchmarkNew hashes a prompt of 20 kB, about 5,000 tokens.
func BenchmarkNew(b *testing.B) {
	longRequest := request()
	longRequest.Body = make([]byte, 20<<10)
	for b.Loop() {
		fingerprint.New(longRequest)
	}
}

// TestPartsAreToldApart guards against parts of prompts that share a fingerprint with a part of
// another service, with a part whose name moves between the fields, or with a whole request.
func TestPartsAreToldApart(t *testing.T) {
	known := map[fingerprint.Fingerprint]string{fingerprint.New(fingerprint.Request{Organisation: "part "}): "request"}
	for name, part := range map[string]fingerprint.Fingerprint{
		"part":                          fingerprint.NewPart("engines", "5c1e"),
		"part of another service":       fingerprint.NewPart("writers", "5c1e"),
		"another part":                  fingerprint.NewPart("engines", "5c1f"),
		"bytes moved from part to name": fingerprint.NewPart("engines5", "c1e"),
	} {
		assert.Equal(t, known[part], "", name)
		assert.Assert(t, part != fingerprint.None)
		known[part] = name
	}
}

// TestSetOfARequest guards against prompts that share a part and have nothing in common in their
// fingerprints.
func TestSetOfARequest(t *testing.T) {
	other := request()
	other.Body = []byte("another prompt")
	one := fingerprint.NewSet(request(), "engines", []string{"first", "second"})
	two := fingerprint.NewSet(other, "engines", []string{"second"})
	assert.Assert(t, one.Request != two.Request)
	assert.Equal(t, one.Parts[1], two.Parts[0])
	assert.DeepEqual(t, one.All(), []fingerprint.Fingerprint{one.Request, one.Parts[0], one.Parts[1]})
}
