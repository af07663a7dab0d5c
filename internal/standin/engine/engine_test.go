package engine_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
	"github.com/mastwinch/mastwinch/internal/wait"
)

const (
	model     = "clerk"
	tokenText = "abc "
	stated    = time.Minute
	loadTime  = 10 * time.Second
)

// fleet is engines that know each other.
type fleet struct {
	engines map[string]*engine.Engine
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newFleet(settings engine.Settings, ids ...string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &fleet{engines: make(map[string]*engine.Engine), cancel: cancel}
	for _, id := range ids {
		made := engine.New(id, []string{model}, true, settings, execution.New(), func(id string) *engine.Engine {
			return fleet.engines[id]
		}, func(ctx context.Context, _ string) error {
			wait.For(ctx, loadTime)
			return ctx.Err()
		})
		fleet.engines[id] = made
		fleet.running.Go(made.Run)
		fleet.running.Go(func() { made.Housekeep(ctx) })
	}
	return fleet
}

func (fleet *fleet) close() {
	fleet.cancel()
	for _, engine := range fleet.engines {
		engine.Close()
	}
	fleet.running.Wait()
}

func submission(attempt string, tokens int) engine.Submission {
	return engine.Submission{
		Attempt:   attempt,
		Model:     model,
		Prompt:    []byte(strings.Repeat(tokenText, tokens)),
		MaxTokens: 4,
		TimeLeft:  stated,
	}
}

// read returns the tokens and the end of an attempt's stream.
func read(engine *engine.Engine, attempt string, from int) ([]string, backend.End) {
	var texts []string
	var end backend.End
	engine.Read(context.Background(), attempt, from, func(frames []backend.Frame) error {
		for _, frame := range frames {
			if frame.End != backend.EndNone {
				end = frame.End
				continue
			}
			texts = append(texts, frame.Text)
		}
		return nil
	})
	return texts, end
}

func TestStreamIsWholeAndCanBeReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(engine.DefaultSettings(), "e1")
		defer fleet.close()
		one := fleet.engines["e1"]
		asked := submission("a1", 1000)
		assert.NilError(t, one.Submit(asked))
		digest := xxhash.Sum64(asked.Prompt)
		want := []string{
			engine.TokenText(digest, 0), engine.TokenText(digest, 1), engine.TokenText(digest, 2), engine.TokenText(digest, 3),
		}
		texts, end := read(one, "a1", 0)
		assert.DeepEqual(t, texts, want)
		assert.Equal(t, end, backend.EndCompleted)
		texts, end = read(one, "a1", 2)
		assert.DeepEqual(t, texts, want[2:])
		assert.Equal(t, end, backend.EndCompleted)
	})
}

// Once the engine forgot this, a stream of a group that held its memory waited
// behind a prompt that waited for memory, until the time of both was over.
func TestWaitingPromptDoesNotStopGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := engine.DefaultSettings()
		settings.MemoryTokens = 100 << 10
		fleet := newFleet(settings, "e1", "e2")
		defer fleet.close()
		const group = "g@e1,e2"
		for _, engine := range fleet.engines {
			assert.NilError(t, engine.Reserve(group, 90<<10, time.Second))
		}
		assert.NilError(t, fleet.engines["e1"].Submit(submission("waits", 50<<10)))
		grouped := submission("grouped", 150<<10)
		grouped.Group = group
		assert.NilError(t, fleet.engines["e1"].Submit(grouped))
		started := time.Now()
		_, end := read(fleet.engines["e1"], "grouped", 0)
		assert.Equal(t, end, backend.EndCompleted)
		_, end = read(fleet.engines["e1"], "waits", 0)
		assert.Equal(t, end, backend.EndCompleted)
		assert.Assert(t, time.Since(started) < 5*time.Second)
		for _, engine := range fleet.engines {
			assert.Equal(t, engine.Truth().FreeTokens, settings.MemoryTokens)
		}
	})
}

func TestMemoryComesBack(t *testing.T) {
	cases := map[string]func(t *testing.T, fleet *fleet){
		"when nobody reads": func(t *testing.T, fleet *fleet) {
			t.Helper()
			assert.NilError(t, fleet.engines["e1"].Submit(submission("a1", 400_000)))
		},
		"when a reservation lapses": func(t *testing.T, fleet *fleet) {
			t.Helper()
			assert.NilError(t, fleet.engines["e1"].Reserve("g@e1", 1000, time.Second))
		},
		"when cancelled": func(t *testing.T, fleet *fleet) {
			t.Helper()
			assert.NilError(t, fleet.engines["e1"].Submit(submission("a1", 400_000)))
			assert.Assert(t, fleet.engines["e1"].Cancel("a1"))
		},
		"when another engine of the group dies": func(t *testing.T, fleet *fleet) {
			t.Helper()
			for _, engine := range fleet.engines {
				assert.NilError(t, engine.Reserve("g@e1,e2", 300_000, time.Second))
			}
			grouped := submission("a1", 500_000)
			grouped.Group = "g@e1,e2"
			assert.NilError(t, fleet.engines["e1"].Submit(grouped))
			fleet.engines["e2"].Close()
			_, end := read(fleet.engines["e1"], "a1", 0)
			assert.Equal(t, end, backend.EndFailed)
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := engine.DefaultSettings()
				fleet := newFleet(settings, "e1", "e2")
				defer fleet.close()
				act(t, fleet)
				time.Sleep(settings.DetachGrace + time.Second)
				assert.Equal(t, fleet.engines["e1"].Truth().FreeTokens, settings.MemoryTokens)
			})
		})
	}
}

func TestShortPromptPassesLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(engine.DefaultSettings(), "e1")
		defer fleet.close()
		assert.NilError(t, fleet.engines["e1"].Submit(submission("long", 400_000)))
		time.Sleep(100 * time.Millisecond)
		short := submission("short", 1000)
		short.Priority = 10
		started := time.Now()
		assert.NilError(t, fleet.engines["e1"].Submit(short))
		_, end := read(fleet.engines["e1"], "short", 0)
		assert.Equal(t, end, backend.EndCompleted)
		// The long prompt alone takes over a second.
		assert.Assert(t, time.Since(started) < 200*time.Millisecond, "took %s", time.Since(started))
	})
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(submission *engine.Submission)
		want   string
	}{
		"another model": {func(s *engine.Submission) { s.Model = "other" }, `model "other" is not loaded`},
		"too long":      {func(s *engine.Submission) { s.MaxTokens = 1 << 20 }, "prompt is longer"},
		"group unknown": {func(s *engine.Submission) { s.Group = "g@e1" }, "group holds 0 tokens"},
		"attempt twice": {func(s *engine.Submission) { s.Attempt = "first" }, "attempt exists"},
		"old token":     {func(s *engine.Submission) { s.Key, s.Fence = "k", 4 }, "fencing token is old"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(engine.DefaultSettings(), "e1")
				defer fleet.close()
				first := submission("first", 10)
				first.Key, first.Fence = "k", 5
				assert.NilError(t, fleet.engines["e1"].Submit(first))
				second := submission("second", 10)
				c.change(&second)
				assert.ErrorContains(t, fleet.engines["e1"].Submit(second), c.want)
			})
		})
	}
}

func TestOrders(t *testing.T) {
	load := engine.Order{Kind: engine.OrderLoad, Token: 5, Model: "audit"}
	cases := map[string]struct {
		checks bool
		orders []engine.Order
		// want is the error of the last order, or empty.
		want   string
		served bool
	}{
		"a model is served once it is loaded":     {checks: true, orders: []engine.Order{load}, served: true},
		"a newer order overtakes the load":        {checks: true, orders: []engine.Order{load, {Kind: engine.OrderRole, Token: 6}}},
		"an older order is refused where checked": {checks: true, orders: []engine.Order{load, {Kind: engine.OrderRole, Token: 4}}, want: "token 4 is older than 5", served: true},
		"an older order is taken where not":       {orders: []engine.Order{load, {Kind: engine.OrderRole, Token: 4}}, served: true},
		"an order of no kind is refused":          {checks: true, orders: []engine.Order{{Token: 1}}, want: `no order of kind ""`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one := engine.New("e1", []string{model}, c.checks, engine.DefaultSettings(), execution.New(), nil,
					func(context.Context, string) error {
						time.Sleep(loadTime)
						return nil
					})
				var err error
				for _, order := range c.orders {
					err = one.Take(order)
				}
				if c.want == "" {
					assert.NilError(t, err)
				} else {
					assert.ErrorContains(t, err, c.want)
				}
				asked := submission("early", 10)
				asked.Model = "audit"
				assert.ErrorContains(t, one.Submit(asked), "is not loaded")
				time.Sleep(loadTime + time.Second)
				assert.Equal(t, one.Submit(asked) == nil, c.served)
			})
		})
	}
}

func TestExportedMemorySparesPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := engine.DefaultSettings()
		settings.CacheEventLoss = 0
		fleet := newFleet(settings, "e1", "e2")
		defer fleet.close()
		took := make(map[string]time.Duration)
		for _, id := range []string{"e1", "e2"} {
			started := time.Now()
			assert.NilError(t, fleet.engines[id].Submit(submission("a1", 100_000)))
			_, end := read(fleet.engines[id], "a1", 0)
			assert.Equal(t, end, backend.EndCompleted)
			took[id] = time.Since(started)
			if id == "e1" {
				kv, ok := fleet.engines["e1"].Export(t.Context(), "a1")
				assert.Assert(t, ok)
				assert.Assert(t, fleet.engines["e2"].Import(t.Context(), kv))
				assert.Equal(t, len(fleet.engines["e2"].CacheEvents(0)), 0)
				time.Sleep(settings.CacheEventLag + time.Millisecond)
				assert.Equal(t, len(fleet.engines["e2"].CacheEvents(0)), len(kv.Blocks))
			}
		}
		assert.Assert(t, took["e2"] < took["e1"]/10, "%v", took)
	})
}

func TestPausedStreamKeepsItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := engine.DefaultSettings()
		fleet := newFleet(settings, "e1")
		defer fleet.close()
		one := fleet.engines["e1"]
		assert.NilError(t, one.Submit(submission("a1", 100_000)))
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, one.Pause("a1", true))
		time.Sleep(5 * time.Second)
		info, _ := one.Info("a1")
		assert.Equal(t, info.Tokens, 0)
		assert.Assert(t, one.Truth().FreeTokens < settings.MemoryTokens)
		assert.Assert(t, one.Pause("a1", false))
		_, end := read(one, "a1", 0)
		assert.Equal(t, end, backend.EndCompleted)
	})
}
