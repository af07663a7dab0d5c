package cmd

import (
	"slices"

	"github.com/mastwinch/mastwinch/internal/logread"
)

// Log lines that say why a request is kept from servers, and their keys.
const (
	messageEnded           = "ended"
	messageQuarantined     = "request quarantined"
	messagePartQuarantined = "part of prompts quarantined"
	messageAttemptFailed   = "attempt failed"
	messageServerEnded     = "server ended"
	keyReason              = "reason"
	keyFingerprint         = "fingerprint"
	keyParts               = "parts"
	keyLost                = "lost"
	reasonCrashesServers   = "crashes_servers"
)

// verdict is why a request was refused with reasonCrashesServers.
type verdict struct {
	// fingerprints are those of the request and of the parts of its prompt, as far as the lines have them.
	fingerprints []any
	// servers are those whose losses stand behind it.
	servers []string
}

// newVerdict returns the verdict on the request with the given ID, and false if it was not refused for one.
func newVerdict(id string, lines []logread.Line) (verdict, bool) {
	var found verdict
	for _, line := range lines {
		if line.Request == id && line.Message == messageEnded && line.String(keyReason) == reasonCrashesServers {
			found.fingerprints = append(found.fingerprints, line.Fields[keyFingerprint])
		}
	}
	if len(found.fingerprints) == 0 {
		return found, false
	}
	for _, line := range lines {
		if line.Message == messageAttemptFailed && slices.Contains(found.fingerprints, line.Fields[keyFingerprint]) {
			parts, _ := line.Fields[keyParts].([]any)
			found.fingerprints = append(found.fingerprints, parts...)
		}
	}
	for _, line := range lines {
		if found.isEntry(line) {
			found.servers = append(found.servers, line.Strings(keyLost)...)
		}
	}
	return found, true
}

// isEntry reports whether a line says that the request, or a part of its prompt, was quarantined.
func (verdict verdict) isEntry(line logread.Line) bool {
	isEntry := line.Message == messageQuarantined || line.Message == messagePartQuarantined
	return isEntry && slices.Contains(verdict.fingerprints, line.Fields[keyFingerprint])
}

// explains reports whether a line of any VM is part of the verdict: the entry, the losses of the servers behind it, or the proof that one
// of them ended.
func (verdict verdict) explains(line logread.Line) bool {
	switch {
	case verdict.isEntry(line):
		return true
	case line.Message == messageAttemptFailed:
		return line.Bool(keyLost) && slices.Contains(verdict.servers, line.String(keyAtFault)) &&
			slices.Contains(verdict.fingerprints, line.Fields[keyFingerprint])
	case line.Message == messageServerEnded:
		return slices.Contains(verdict.servers, line.String(keyServer))
	default:
		return false
	}
}
