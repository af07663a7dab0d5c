package exchange

import (
	"math/rand/v2"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

var _ quarantine.Publisher = (*Exchange)(nil)

// Limits on the entries in one datagram, which take about 18 bytes each. The newest entries are always included, since
// other VMs may not have them yet, and a random sample of the older ones.
const (
	maxNewestEntries = 16
	maxOlderEntries  = 16
)

// Announce implements quarantine.Publisher. It sends the entries to all known VMs at once. Heartbeats and the responses to them
// repeat them, which makes up for lost datagrams.
func (exchange *Exchange) Announce(entries []quarantine.Entry) {
	update := exchange.update()
	update.Quarantined = encodeQuarantined(entries, exchange.now())
	exchange.sendTo(exchange.allAddresses(), update)
}

// encodeQuarantined encodes the newest of entries and a random sample of the others. The newest entry must come first.
func encodeQuarantined(entries []quarantine.Entry, now time.Time) []*wire.Quarantined {
	newest := entries[:min(maxNewestEntries, len(entries))]
	older := entries[len(newest):]
	encoded := make([]*wire.Quarantined, 0, maxNewestEntries+maxOlderEntries)
	for _, entry := range newest {
		encoded = append(encoded, encodeEntry(entry, now))
	}
	for _, index := range rand.Perm(len(older))[:min(maxOlderEntries, len(older))] { //nolint:gosec // not security-sensitive
		encoded = append(encoded, encodeEntry(older[index], now))
	}
	return encoded
}

func encodeEntry(entry quarantine.Entry, now time.Time) *wire.Quarantined {
	return &wire.Quarantined{
		Fingerprint: uint64(entry.Fingerprint),
		LeftMs:      milliseconds(entry.Until.Sub(now)),
		Times:       uint32(entry.Times), //nolint:gosec // a small count
	}
}

func decodeQuarantined(encoded []*wire.Quarantined, now time.Time) []quarantine.Entry {
	entries := make([]quarantine.Entry, 0, len(encoded))
	for _, quarantined := range encoded {
		entries = append(entries, quarantine.Entry{
			Fingerprint: fingerprint.Fingerprint(quarantined.GetFingerprint()),
			Until:       now.Add(time.Duration(quarantined.GetLeftMs()) * time.Millisecond),
			Times:       int(quarantined.GetTimes()),
		})
	}
	return entries
}
