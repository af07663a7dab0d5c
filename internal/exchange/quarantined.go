package exchange

import (
	"math/rand/v2"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

var _ quarantine.Publisher = (*Exchange)(nil)

// Entries in one datagram, of about 18 bytes each: the last ones, which others may not know
// yet, and some of the rest.
const (
	quarantinedLast = 16
	quarantinedRest = 16
)

// Announce implements quarantine.Publisher: all VMs that are known get a datagram, which one that
// repeats makes up for where it is lost.
func (exchange *Exchange) Announce(entries []quarantine.Entry) {
	update := exchange.update()
	update.Quarantined = encodeQuarantined(entries, exchange.now())
	exchange.sendTo(exchange.everyone(), update)
}

// encodeQuarantined tells of entries, the last ones of which come first.
func encodeQuarantined(entries []quarantine.Entry, now time.Time) []*wire.Quarantined {
	last := entries[:min(quarantinedLast, len(entries))]
	rest := entries[len(last):]
	told := make([]*wire.Quarantined, 0, quarantinedLast+quarantinedRest)
	for _, entry := range last {
		told = append(told, encodeEntry(entry, now))
	}
	for _, at := range rand.Perm(len(rest))[:min(quarantinedRest, len(rest))] { //nolint:gosec // no secret
		told = append(told, encodeEntry(rest[at], now))
	}
	return told
}

func encodeEntry(entry quarantine.Entry, now time.Time) *wire.Quarantined {
	return &wire.Quarantined{
		Fingerprint: uint64(entry.Fingerprint),
		LeftMs:      milliseconds(entry.Until.Sub(now)),
		Times:       uint32(entry.Times), //nolint:gosec // a small count
	}
}

func decodeQuarantined(told []*wire.Quarantined, now time.Time) []quarantine.Entry {
	entries := make([]quarantine.Entry, 0, len(told))
	for _, quarantined := range told {
		entries = append(entries, quarantine.Entry{
			Fingerprint: fingerprint.Fingerprint(quarantined.GetFingerprint()),
			Until:       now.Add(time.Duration(quarantined.GetLeftMs()) * time.Millisecond),
			Times:       int(quarantined.GetTimes()),
		})
	}
	return entries
}
