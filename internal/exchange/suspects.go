package exchange

import (
	"net"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// AnnounceSuspects implements quarantine.Publisher. It sends the list to all known VMs at once. Responses to heartbeats
// repeat it, which makes up for lost datagrams.
func (exchange *Exchange) AnnounceSuspects(suspects []quarantine.Suspect) {
	update := exchange.update()
	update.Suspects = encodeSuspects(suspects)
	exchange.sendTo(exchange.allAddresses(), update)
}

// ReportBegun implements quarantine.Publisher. It sends begun responses to the coordinators at once. Heartbeats repeat
// them.
func (exchange *Exchange) ReportBegun(begun []quarantine.Begun) {
	exchange.sendBegun(exchange.coordinatorAddresses(), begun)
}

// sendBegun sends begun responses in a datagram of their own, since heartbeats have no room for them.
func (exchange *Exchange) sendBegun(addresses []net.Addr, begun []quarantine.Begun) {
	if len(addresses) == 0 || len(begun) == 0 {
		return
	}
	update := exchange.update()
	update.Begun = encodeBegun(begun, exchange.now())
	exchange.sendTo(addresses, update)
}

// encodeSuspects never returns nil, since an empty list replaces an earlier one.
func encodeSuspects(suspects []quarantine.Suspect) *wire.Suspects {
	encoded := &wire.Suspects{}
	for _, suspect := range suspects {
		if suspect.Contained {
			encoded.Contained = append(encoded.Contained, uint64(suspect.Fingerprint))
		} else {
			encoded.Others = append(encoded.Others, uint64(suspect.Fingerprint))
		}
	}
	return encoded
}

func decodeSuspects(encoded *wire.Suspects) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, contained := range decodeFingerprints(encoded.GetContained()) {
		suspects = append(suspects, quarantine.Suspect{Fingerprint: contained, Contained: true})
	}
	for _, other := range decodeFingerprints(encoded.GetOthers()) {
		suspects = append(suspects, quarantine.Suspect{Fingerprint: other})
	}
	return suspects
}

func encodeBegun(begun []quarantine.Begun, now time.Time) []*wire.Begun {
	encoded := make([]*wire.Begun, 0, len(begun))
	for _, response := range begun {
		encoded = append(encoded, &wire.Begun{Part: uint64(response.Part), AgeMs: milliseconds(now.Sub(response.At))})
	}
	return encoded
}

func decodeBegun(encoded []*wire.Begun, now time.Time) []quarantine.Begun {
	begun := make([]quarantine.Begun, 0, len(encoded))
	for _, response := range encoded {
		begun = append(begun, quarantine.Begun{
			Part: fingerprint.Fingerprint(response.GetPart()), At: now.Add(-time.Duration(response.GetAgeMs()) * time.Millisecond),
		})
	}
	return begun
}
