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

// TestMain fixes the seed of rapid so that each run draws the same values, unless the
// command line sets another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid declares the flag
	flag.Parse()
	os.Exit(m.Run())
}

func TestNext(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 4082) + "\n\n" // the data line is as long as the read buffer
	tests := map[string]struct {
		stream  string
		want    []events.Event
		wantErr error
	}{
		"no event":  {wantErr: io.EOF},
		"one event": {stream: "id: 1\ndata: a\n\n", want: []events.Event{{ID: "1", HasData: true, Raw: []byte("id: 1\ndata: a\n\n")}}, wantErr: io.EOF},
		"two events with carriage returns": {
			stream:  "id:1\r\ndata: a\r\n\r\nid:2\r\n\r\n",
			want:    []events.Event{{ID: "1", HasData: true, Raw: []byte("id:1\r\ndata: a\r\n\r\n")}, {ID: "2", Raw: []byte("id:2\r\n\r\n")}},
			wantErr: io.EOF,
		},
		"without an ID":             {stream: ": ping\n\n", want: []events.Event{{Raw: []byte(": ping\n\n")}}, wantErr: io.EOF},
		"data without a colon":      {stream: "data\n\n", want: []events.Event{{HasData: true, Raw: []byte("data\n\n")}}, wantErr: io.EOF},
		"comment of the word":       {stream: ": data: x\n\n", want: []events.Event{{Raw: []byte(": data: x\n\n")}}, wantErr: io.EOF},
		"a field that begins alike": {stream: "database: x\n\n", want: []events.Event{{Raw: []byte("database: x\n\n")}}, wantErr: io.EOF},
		"a long line":               {stream: long, want: []events.Event{{ID: "1", HasData: true, Raw: []byte(long)}}, wantErr: io.EOF},
		"cut within an event":       {stream: "id: 1\n\nid: 2\nda", want: []events.Event{{ID: "1", Raw: []byte("id: 1\n\n")}}, wantErr: events.ErrPartial},
		"cut before the blank line": {stream: "id: 1\ndata: a\n", wantErr: events.ErrPartial},
		"too long":                  {stream: strings.Repeat("x", events.MaxBytes+1), wantErr: events.ErrTooLong},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reader := events.NewReader(strings.NewReader(test.stream))
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

// TestTruncatedStream truncates a stream at any byte and reads it byte by byte. The
// events read must be a prefix of the stream that ends with a complete event.
func TestTruncatedStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 6).Draw(t, "events")
		stream := &bytes.Buffer{}
		ends := map[int]bool{0: true}
		for id := range count {
			data := rapid.StringMatching(`[a-z :]{0,40}`).Draw(t, "data")
			fmt.Fprintf(stream, "id: %d\ndata: %s\n\n", id+1, data)
			ends[stream.Len()] = true
		}
		whole := stream.Bytes()
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
