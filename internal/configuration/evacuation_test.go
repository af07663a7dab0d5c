package configuration_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/configuration"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// TestEvacuations begins and ends evacuations. A refused record must change nothing, and encoding and decoding must
// preserve all evacuations.
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
		// records are applied with the versions 1, 2 and so on.
		records []*wire.Record
		reasons []statemachine.Reason
		want    []configuration.Evacuation
	}{
		"one evacuation": {records: []*wire.Record{begin("a")}, reasons: []statemachine.Reason{""}, want: []configuration.Evacuation{{DataCentre: "a", Version: 1}}},
		"without a name": {records: []*wire.Record{begin("")}, reasons: []statemachine.Reason{statemachine.ReasonMalformed}},
		"begun twice": {
			records: []*wire.Record{begin("a"), begin("a")}, reasons: []statemachine.Reason{"", statemachine.ReasonConflict},
			want: []configuration.Evacuation{{DataCentre: "a", Version: 1}},
		},
		"two evacuations, one ended": {
			records: []*wire.Record{begin("b"), begin("a"), end("b", 1)}, reasons: []statemachine.Reason{"", "", ""},
			want: []configuration.Evacuation{{DataCentre: "a", Version: 2}},
		},
		"end with another version or data centre": {
			records: []*wire.Record{begin("a"), end("a", 7), end("b", 1)},
			reasons: []statemachine.Reason{"", statemachine.ReasonConflict, statemachine.ReasonNotFound},
			want:    []configuration.Evacuation{{DataCentre: "a", Version: 1}},
		},
		"begun again after its end": {
			records: []*wire.Record{begin("a"), end("a", 1), begin("a")}, reasons: []statemachine.Reason{"", "", ""},
			want: []configuration.Evacuation{{DataCentre: "a", Version: 3}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			current := configuration.New()
			for index, record := range test.records {
				var verdict statemachine.Verdict
				version := statemachine.Version(index + 1)
				if body := record.GetBeginEvacuation(); body != nil {
					current, verdict = current.WithEvacuation(version, body)
				} else {
					current, verdict = current.WithoutEvacuation(version, record.GetEndEvacuation())
				}
				assert.Equal(t, verdict.Reason, test.reasons[index])
				assert.Equal(t, verdict.Accepted, test.reasons[index] == "")
			}
			encoded := &wire.State{}
			current.Encode(encoded)
			for _, checked := range []configuration.Configuration{current, configuration.Decode(encoded)} {
				assert.Equal(t, len(checked.Evacuations()), len(test.want))
				for index, want := range test.want {
					assert.Equal(t, checked.Evacuations()[index], want)
					assert.Assert(t, checked.Evacuated(want.DataCentre))
				}
			}
		})
	}
}
