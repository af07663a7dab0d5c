package follower

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid so that each run draws the same values, unless the
// command line sets another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid declares the flag
	flag.Parse()
	os.Exit(m.Run())
}

// numbered returns an entry for key with number as its value. A higher number is newer; zero drops the key.
func numbered(key string, number int) entry[int] {
	next := entry[int]{record: Record{Key: key}, change: Change[int]{Key: key}}
	if number > 0 {
		next.record.Value = []byte{byte(number)}
		next.change.Value = &number
	}
	return next
}

func newNumberedContents() *contents[int] {
	return newContents(func(a, b int) bool { return a > b })
}

// numbersByKey returns the values of entries by key, with zero for a dropped key.
func numbersByKey(entries []entry[int]) map[string]int {
	numbers := make(map[string]int)
	for _, entry := range entries {
		numbers[entry.record.Key] = 0
		if entry.change.Value != nil {
			numbers[entry.record.Key] = *entry.change.Value
		}
	}
	return numbers
}

// TestReplace starts with values a and b of number 2 and replaces them by what is read.
func TestReplace(t *testing.T) {
	for name, test := range map[string]struct {
		// dropped is a key that is dropped before the read, or empty.
		dropped   string
		read      []entry[int]
		unsettled bool
		want      map[string]int
		outdated  int
	}{
		"newer values": {read: []entry[int]{numbered("a", 3), numbered("b", 3)}, want: map[string]int{"a": 3, "b": 3}},
		"an older value": {
			read: []entry[int]{numbered("a", 1), numbered("b", 2)}, want: map[string]int{"a": 2, "b": 2}, outdated: 1,
		},
		"a missing key":                         {read: []entry[int]{numbered("a", 2)}, want: map[string]int{"a": 2}},
		"a missing key, unsettled":              {read: []entry[int]{numbered("a", 2)}, unsettled: true, want: map[string]int{"a": 2, "b": 2}},
		"an older value, unsettled":             {read: []entry[int]{numbered("a", 1)}, unsettled: true, want: map[string]int{"a": 2, "b": 2}, outdated: 1},
		"no values, unsettled":                  {unsettled: true, want: map[string]int{"a": 2, "b": 2}},
		"a dropped value":                       {dropped: "b", read: []entry[int]{numbered("a", 2), numbered("b", 2)}, want: map[string]int{"a": 2, "b": 2}},
		"a dropped value, unsettled":            {dropped: "b", read: []entry[int]{numbered("a", 2), numbered("b", 2)}, unsettled: true, want: map[string]int{"a": 2}},
		"newer than the dropped one, unsettled": {dropped: "b", read: []entry[int]{numbered("a", 2), numbered("b", 3)}, unsettled: true, want: map[string]int{"a": 2, "b": 3}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			contents := newNumberedContents()
			contents.replace([]entry[int]{numbered("a", 2), numbered("b", 2)}, false, now)
			if test.dropped != "" {
				contents.change([]entry[int]{numbered(test.dropped, 0)}, now)
			}
			got := contents.replace(test.read, test.unsettled, now)
			assert.DeepEqual(t, numbersByKey(got), test.want)
			assert.Equal(t, len(contents.outdated), test.outdated)
		})
	}
}

// oracle computes the expected values key by key from the rules alone.
type oracle struct {
	expected map[string]int
	// dropped has the last values of dropped keys.
	dropped map[string]int
}

// read applies the numbers of a page by key. Zero drops a key, and a settled page of all values drops the keys that it
// lacks.
func (oracle *oracle) read(read map[string]int, whole, unsettled bool) {
	for key, number := range read {
		switch {
		case number == 0:
			oracle.drop(key)
		case whole && unsettled && oracle.dropped[key] >= number:
		case number >= oracle.expected[key]:
			oracle.expected[key] = number
			delete(oracle.dropped, key)
		}
	}
	for key := range oracle.expected {
		if _, present := read[key]; whole && !unsettled && !present {
			oracle.drop(key)
		}
	}
}

func (oracle *oracle) drop(key string) {
	if number, found := oracle.expected[key]; found {
		oracle.dropped[key] = number
		delete(oracle.expected, key)
	}
}

// drawNumbers draws numbers for some keys. Zero, which drops a key, is drawn for changes only.
func drawNumbers(t *rapid.T, whole bool) map[string]int {
	minimum := 0
	if whole {
		minimum = 1
	}
	keys := rapid.StringMatching(`k[0-4]`)
	return rapid.MapOfN(keys, rapid.IntRange(minimum, 5), 0, 4).Draw(t, "read")
}

// TestContentsMatchOracle draws pages, and compares the resulting values with those of the oracle.
func TestContentsMatchOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		contents := newNumberedContents()
		oracle := &oracle{expected: make(map[string]int), dropped: make(map[string]int)}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			whole, unsettled := rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "unsettled")
			read := drawNumbers(t, whole)
			var list []entry[int]
			for key, number := range read {
				list = append(list, numbered(key, number))
			}
			if whole {
				contents.replace(list, unsettled, now)
			} else {
				contents.change(list, now)
			}
			oracle.read(read, whole, unsettled)
			values := slices.Collect(maps.Values(contents.values))
			assert.DeepEqual(t, numbersByKey(values), oracle.expected)
		}
	})
}
