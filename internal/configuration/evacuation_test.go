package configuration_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/configuration"
	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// TestEvacuations begins and ends evacuations. What is refused changes nothing, and all is there again after a checkpoint.
func TestEvacuations(t *testing.T) {
	begin := func(dataCentre string) *wire.Record {
		return &wire.Record{Body: &wire.Record_BeginEvacuation{BeginEvacuation: &wire.BeginEvacuation{DataCentre: dataCentre}}}
	}
	end := func(dataCentre string, version uint64) *wire.Record {
		return &wire.Record{Body: &wire.Record_EndEvacuation{EndEvacuation: &wire.EndEvacuation{
			DataCentre: dataCentre, ExpectedVersion: version,
		}}}
	}
	for name, test := range map[string]struct {
		// records have the versions 1, 2 and so on.
		records []*wire.Record
		reasons []fold.Reason
		left    []configuration.Evacuation
	}{
		"one":            {records: []*wire.Record{begin("a")}, reasons: []fold.Reason{""}, left: []configuration.Evacuation{{DataCentre: "a", Version: 1}}},
		"without a name": {records: []*wire.Record{begin("")}, reasons: []fold.Reason{fold.ReasonMalformed}},
		"twice": {
			records: []*wire.Record{begin("a"), begin("a")}, reasons: []fold.Reason{"", fold.ReasonConflict},
			left: []configuration.Evacuation{{DataCentre: "a", Version: 1}},
		},
		"two, and one ends": {
			records: []*wire.Record{begin("b"), begin("a"), end("b", 1)}, reasons: []fold.Reason{"", "", ""},
			left: []configuration.Evacuation{{DataCentre: "a", Version: 2}},
		},
		"the end of another one": {
			records: []*wire.Record{begin("a"), end("a", 7), end("b", 1)},
			reasons: []fold.Reason{"", fold.ReasonConflict, fold.ReasonNotFound},
			left:    []configuration.Evacuation{{DataCentre: "a", Version: 1}},
		},
		"again after its end": {
			records: []*wire.Record{begin("a"), end("a", 1), begin("a")}, reasons: []fold.Reason{"", "", ""},
			left: []configuration.Evacuation{{DataCentre: "a", Version: 3}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			current := configuration.New()
			for at, record := range test.records {
				var verdict fold.Verdict
				version := fold.Version(at + 1)
				if body := record.GetBeginEvacuation(); body != nil {
					current, verdict = current.WithEvacuation(version, body)
				} else {
					current, verdict = current.WithoutEvacuation(version, record.GetEndEvacuation())
				}
				assert.Equal(t, verdict.Reason, test.reasons[at])
				assert.Equal(t, verdict.Accepted, test.reasons[at] == "")
			}
			encoded := &wire.State{}
			current.Encode(encoded)
			for _, kept := range []configuration.Configuration{current, configuration.Decode(encoded)} {
				assert.Equal(t, len(kept.Evacuations()), len(test.left))
				for at, left := range test.left {
					assert.Equal(t, kept.Evacuations()[at], left)
					assert.Assert(t, kept.Evacuated(left.DataCentre))
				}
			}
		})
	}
}
