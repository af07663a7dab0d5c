package exchange

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// percent converts a fraction to the whole percentages on the wire.
const percent = 100

func encodeReports(reports []pool.Report) []*wire.Sending {
	sendings := make([]*wire.Sending, 0, len(reports))
	for _, report := range reports {
		sendings = append(sendings, &wire.Sending{
			Id:           report.ID,
			Server:       report.Server,
			Phase:        wire.Phase(report.Phase),                          //nolint:gosec // few values
			WorkUs:       uint64(report.PrefillTime.Microseconds()),         //nolint:gosec // not negative
			MemoryTokens: uint64(report.Memory),                             //nolint:gosec // not negative
			GapMs:        uint32(report.InterTokenObjective.Milliseconds()), //nolint:gosec // seconds at most
			Tight:        report.Packable,
			Helps:        report.PrefillOnly,
			AgeMs:        uint32(report.Age.Milliseconds()), //nolint:gosec // minutes at most
			PacePercent:  uint32(percent * report.Pace),
			Health:       wire.Health(report.Health), //nolint:gosec // few values
			Fingerprint:  uint64(report.Fingerprint),
			RestMs:       milliseconds(report.Backoff),
			PerSecond:    report.PerSecond,
			Organisation: uint64(report.Organisation),
			Parts:        encodeFingerprints(report.Parts),
			Ended:        report.Ended,
		})
	}
	return sendings
}

func decodeReports(sendings []*wire.Sending) []pool.Report {
	reports := make([]pool.Report, 0, len(sendings))
	for _, sending := range sendings {
		reports = append(reports, pool.Report{
			ID:                  sending.GetId(),
			Server:              sending.GetServer(),
			Phase:               pool.Phase(sending.GetPhase()),
			PrefillTime:         time.Duration(sending.GetWorkUs()) * time.Microsecond, //nolint:gosec // hours at most
			Memory:              int(sending.GetMemoryTokens()),                        //nolint:gosec // bounded by any engine's memory
			InterTokenObjective: time.Duration(sending.GetGapMs()) * time.Millisecond,
			Packable:            sending.GetTight(),
			PrefillOnly:         sending.GetHelps(),
			Age:                 time.Duration(sending.GetAgeMs()) * time.Millisecond,
			Pace:                float64(sending.GetPacePercent()) / percent,
			Health:              pool.Health(sending.GetHealth()),
			Backoff:             time.Duration(sending.GetRestMs()) * time.Millisecond,

			PerSecond:    sending.GetPerSecond(),
			Organisation: fairshare.Organisation(sending.GetOrganisation()),
			Fingerprint:  fingerprint.Fingerprint(sending.GetFingerprint()),
			Parts:        decodeFingerprints(sending.GetParts()),
			Ended:        sending.GetEnded(),
		})
	}
	return reports
}

func encodeFingerprints(fingerprints []fingerprint.Fingerprint) []uint64 {
	var encoded []uint64
	for _, known := range fingerprints {
		encoded = append(encoded, uint64(known))
	}
	return encoded
}

func decodeFingerprints(encoded []uint64) []fingerprint.Fingerprint {
	var fingerprints []fingerprint.Fingerprint
	for _, number := range encoded {
		fingerprints = append(fingerprints, fingerprint.Fingerprint(number))
	}
	return fingerprints
}
