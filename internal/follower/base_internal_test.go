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

// TestMain makes the random checks the same in every run, unless the command
// line gives another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid has declared it
	flag.Parse()
	os.Exit(m.Run())
}

// numbered returns a value of a key that is newer the higher its number is; zero drops the key.
func numbered(key string, number int) held[int] {
	next := held[int]{record: Record{Key: key}, change: Change[int]{Key: key}}
	if number > 0 {
		next.record.Value = []byte{byte(number)}
		next.change.Value = &number
	}
	return next
}

func newNumbered() *base[int] {
	return newBase(func(a, b int) bool { return a > b })
}

// shown returns keys and values in one text each.
func shown(list []held[int]) map[string]int {
	found := make(map[string]int)
	for _, held := range list {
		found[held.record.Key] = 0
		if held.change.Value != nil {
			found[held.record.Key] = *held.change.Value
		}
	}
	return found
}

// TestBase has values a and b of number 2, and what is read then.
func TestBase(t *testing.T) {
	for name, test := range map[string]struct {
		// dropped is a key that went before.
		dropped   string
		read      []held[int]
		unsettled bool
		want      map[string]int
		behind    int
	}{
		"newer ones": {read: []held[int]{numbered("a", 3), numbered("b", 3)}, want: map[string]int{"a": 3, "b": 3}},
		"an older one": {
			read: []held[int]{numbered("a", 1), numbered("b", 2)}, want: map[string]int{"a": 2, "b": 2}, behind: 1,
		},
		"one is missing":               {read: []held[int]{numbered("a", 2)}, want: map[string]int{"a": 2}},
		"one is missing, unsettled":    {read: []held[int]{numbered("a", 2)}, unsettled: true, want: map[string]int{"a": 2, "b": 2}},
		"an older one, unsettled":      {read: []held[int]{numbered("a", 1)}, unsettled: true, want: map[string]int{"a": 2, "b": 2}, behind: 1},
		"nothing, unsettled":           {unsettled: true, want: map[string]int{"a": 2, "b": 2}},
		"one that had gone":            {dropped: "b", read: []held[int]{numbered("a", 2), numbered("b", 2)}, want: map[string]int{"a": 2, "b": 2}},
		"one that had gone, unsettled": {dropped: "b", read: []held[int]{numbered("a", 2), numbered("b", 2)}, unsettled: true, want: map[string]int{"a": 2}},
		"a newer one of it, unsettled": {dropped: "b", read: []held[int]{numbered("a", 2), numbered("b", 3)}, unsettled: true, want: map[string]int{"a": 2, "b": 3}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			base := newNumbered()
			base.replace([]held[int]{numbered("a", 2), numbered("b", 2)}, false, now)
			if test.dropped != "" {
				base.change([]held[int]{numbered(test.dropped, 0)}, now)
			}
			got := base.replace(test.read, test.unsettled, now)
			assert.DeepEqual(t, shown(got), test.want)
			assert.Equal(t, len(base.behind), test.behind)
		})
	}
}

// oracle believes by the rules alone, key by key.
type oracle struct {
	believed map[string]int
	// gone has the last values of keys that were dropped.
	gone map[string]int
}

// read takes over what is read; a number of zero drops its key, and a whole page drops those that it does not have.
func (oracle *oracle) read(read map[string]int, whole, unsettled bool) {
	for key, number := range read {
		switch {
		case number == 0:
			oracle.forget(key)
		case whole && unsettled && oracle.gone[key] >= number:
		case number >= oracle.believed[key]:
			oracle.believed[key] = number
			delete(oracle.gone, key)
		}
	}
	for key := range oracle.believed {
		if _, there := read[key]; whole && !unsettled && !there {
			oracle.forget(key)
		}
	}
}

func (oracle *oracle) forget(key string) {
	if number, found := oracle.believed[key]; found {
		oracle.gone[key] = number
		delete(oracle.believed, key)
	}
}

// drawRead draws records of some keys, of which a whole page has none that is dropped.
func drawRead(t *rapid.T, whole bool) map[string]int {
	least := 0
	if whole {
		least = 1
	}
	keys := rapid.StringMatching(`k[0-4]`)
	return rapid.MapOfN(keys, rapid.IntRange(least, 5), 0, 4).Draw(t, "read")
}

// TestBaseAgainstOracle draws what is read, and compares what is believed.
func TestBaseAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		base := newNumbered()
		oracle := &oracle{believed: make(map[string]int), gone: make(map[string]int)}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			whole, unsettled := rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "unsettled")
			read := drawRead(t, whole)
			var list []held[int]
			for key, number := range read {
				list = append(list, numbered(key, number))
			}
			if whole {
				base.replace(list, unsettled, now)
			} else {
				base.change(list, now)
			}
			oracle.read(read, whole, unsettled)
			values := slices.Collect(maps.Values(base.values))
			assert.DeepEqual(t, shown(values), oracle.believed)
		}
	})
}
