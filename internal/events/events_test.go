package events_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/events"
)

// TestMain makes the random checks the same in every run, unless the command
// line gives another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid has declared it
	flag.Parse()
	os.Exit(m.Run())
}

func TestNext(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 4082) + "\n\n" // its line fills a read buffer
	tests := map[string]struct {
		series  string
		want    []events.Event
		wantErr error
	}{
		"none": {wantErr: io.EOF},
		"one":  {series: "id: 1\ndata: a\n\n", want: []events.Event{{ID: "1", Raw: []byte("id: 1\ndata: a\n\n")}}, wantErr: io.EOF},
		"two, with carriage returns": {
			series:  "id:1\r\ndata: a\r\n\r\nid:2\r\n\r\n",
			want:    []events.Event{{ID: "1", Raw: []byte("id:1\r\ndata: a\r\n\r\n")}, {ID: "2", Raw: []byte("id:2\r\n\r\n")}},
			wantErr: io.EOF,
		},
		"without an ID":        {series: ": ping\n\n", want: []events.Event{{Raw: []byte(": ping\n\n")}}, wantErr: io.EOF},
		"a long line":          {series: long, want: []events.Event{{ID: "1", Raw: []byte(long)}}, wantErr: io.EOF},
		"cut within an event":  {series: "id: 1\n\nid: 2\nda", want: []events.Event{{ID: "1", Raw: []byte("id: 1\n\n")}}, wantErr: events.ErrPartial},
		"cut before its blank": {series: "id: 1\ndata: a\n", wantErr: events.ErrPartial},
		"too long":             {series: strings.Repeat("x", events.MaxBytes+1), wantErr: events.ErrTooLong},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reader := events.NewReader(strings.NewReader(test.series))
			var got []events.Event
			for {
				event, err := reader.Next()
				if err != nil {
					assert.ErrorIs(t, err, test.wantErr)
					break
				}
				got = append(got, event)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestAnyCut cuts a series anywhere, read in pieces of any size. What was read
// must be a part of the series that ends with a whole event.
func TestAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 6).Draw(t, "events")
		series := &bytes.Buffer{}
		ends := map[int]bool{0: true}
		for id := range count {
			data := rapid.StringMatching(`[a-z :]{0,40}`).Draw(t, "data")
			fmt.Fprintf(series, "id: %d\ndata: %s\n\n", id+1, data)
			ends[series.Len()] = true
		}
		whole := series.Bytes()
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		reader := events.NewReader(iotest.OneByteReader(bytes.NewReader(whole[:cut])))
		var got []byte
		for {
			event, err := reader.Next()
			if err == nil {
				got = append(got, event.Raw...)
				continue
			}
			if ends[cut] != errors.Is(err, io.EOF) {
				t.Fatalf("cut at %d of %d: %v", cut, len(whole), err)
			}
			break
		}
		if !bytes.HasPrefix(whole, got) || !ends[len(got)] {
			t.Fatalf("read %q", got)
		}
	})
}
