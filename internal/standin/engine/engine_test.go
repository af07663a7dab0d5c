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
	timeLeft  = time.Minute
	loadTime  = 10 * time.Second
)

// fleet is a number of running engines that can form groups.
type fleet struct {
	engines map[string]*engine.Engine
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newFleet(settings engine.Settings, ids ...string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &fleet{engines: make(map[string]*engine.Engine), cancel: cancel}
	for _, id := range ids {
		created := engine.New(id, []string{model}, true, settings, execution.New(), func(id string) *engine.Engine {
			return fleet.engines[id]
		}, func(ctx context.Context, _ string) error {
			wait.For(ctx, loadTime)
			return ctx.Err()
		})
		fleet.engines[id] = created
		fleet.running.Go(created.Run)
		fleet.running.Go(func() { created.RunMaintenance(ctx) })
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
		TimeLeft:  timeLeft,
	}
}

// read returns the tokens of an attempt's stream from the given one, and how the
// stream ended.
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

func TestStreamIsCompleteAndCanBeReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(engine.DefaultSettings(), "e1")
		defer fleet.close()
		target := fleet.engines["e1"]
		request := submission("a1", 1000)
		assert.NilError(t, target.Submit(request))
		digest := xxhash.Sum64(request.Prompt)
		want := []string{
			engine.TokenText(digest, 0), engine.TokenText(digest, 1), engine.TokenText(digest, 2), engine.TokenText(digest, 3),
		}
		texts, end := read(target, "a1", 0)
		assert.DeepEqual(t, texts, want)
		assert.Equal(t, end, backend.EndCompleted)
		texts, end = read(target, "a1", 2)
		assert.DeepEqual(t, texts, want[2:])
		assert.Equal(t, end, backend.EndCompleted)
	})
}

// Guards against a deadlock: a stream of a group that had its memory was scheduled
// only after a queued prompt that was waiting for memory, so that both missed their
// deadlines.
func TestQueuedPromptDoesNotBlockGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := engine.DefaultSettings()
		settings.MemoryTokens = 100 << 10
		fleet := newFleet(settings, "e1", "e2")
		defer fleet.close()
		const group = "g@e1,e2"
		for _, engine := range fleet.engines {
			assert.NilError(t, engine.Reserve(group, 90<<10, time.Second))
		}
		assert.NilError(t, fleet.engines["e1"].Submit(submission("queued", 50<<10)))
		grouped := submission("grouped", 150<<10)
		grouped.Group = group
		assert.NilError(t, fleet.engines["e1"].Submit(grouped))
		started := time.Now()
		_, end := read(fleet.engines["e1"], "grouped", 0)
		assert.Equal(t, end, backend.EndCompleted)
		_, end = read(fleet.engines["e1"], "queued", 0)
		assert.Equal(t, end, backend.EndCompleted)
		assert.Assert(t, time.Since(started) < 5*time.Second)
		for _, engine := range fleet.engines {
			assert.Equal(t, engine.CurrentLoad().FreeTokens, settings.MemoryTokens)
		}
	})
}

// TestRefusedDuplicateKeepsMemoryOfLiveStream guards against a second submission of an attempt that releases the memory of the
// first one's group when it is refused.
func TestRefusedDuplicateKeepsMemoryOfLiveStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := engine.DefaultSettings()
		fleet := newFleet(settings, "e1", "e2")
		defer fleet.close()
		const reserved = 300_000
		for _, engine := range fleet.engines {
			assert.NilError(t, engine.Reserve("g@e1,e2", reserved, time.Second))
		}
		before := fleet.engines["e2"].CurrentLoad().FreeTokens
		grouped := submission("a1", 500_000)
		grouped.Group = "g@e1,e2"
		assert.NilError(t, fleet.engines["e1"].Submit(grouped))
		assert.ErrorContains(t, fleet.engines["e1"].Submit(grouped), "attempt exists")
		time.Sleep(100 * time.Millisecond) // until the next load report
		assert.Equal(t, fleet.engines["e2"].CurrentLoad().FreeTokens, before)
		_, end := read(fleet.engines["e1"], "a1", 0)
		assert.Equal(t, end, backend.EndCompleted)
	})
}

func TestMemoryIsReleased(t *testing.T) {
	cases := map[string]func(t *testing.T, fleet *fleet){
		"stream without readers": func(t *testing.T, fleet *fleet) {
			t.Helper()
			assert.NilError(t, fleet.engines["e1"].Submit(submission("a1", 400_000)))
		},
		"reservation expires": func(t *testing.T, fleet *fleet) {
			t.Helper()
			assert.NilError(t, fleet.engines["e1"].Reserve("g@e1", 1000, time.Second))
		},
		"stream is cancelled": func(t *testing.T, fleet *fleet) {
			t.Helper()
			assert.NilError(t, fleet.engines["e1"].Submit(submission("a1", 400_000)))
			assert.Assert(t, fleet.engines["e1"].Cancel("a1"))
		},
		"another engine of the group crashes": func(t *testing.T, fleet *fleet) {
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
	for name, useMemory := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := engine.DefaultSettings()
				fleet := newFleet(settings, "e1", "e2")
				defer fleet.close()
				useMemory(t, fleet)
				time.Sleep(settings.DetachGrace + time.Second)
				assert.Equal(t, fleet.engines["e1"].CurrentLoad().FreeTokens, settings.MemoryTokens)
			})
		})
	}
}

func TestHighPriorityPromptOvertakesLongPrompt(t *testing.T) {
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
		// The long prompt takes over a second on its own.
		assert.Assert(t, time.Since(started) < 200*time.Millisecond, "took %s", time.Since(started))
	})
}

func TestSubmissionIsRefused(t *testing.T) {
	cases := map[string]struct {
		change func(submission *engine.Submission)
		want   string
	}{
		"model isn't loaded": {func(s *engine.Submission) { s.Model = "other" }, `model "other" is not loaded`},
		"prompt too long":    {func(s *engine.Submission) { s.MaxTokens = 1 << 20 }, "prompt is longer"},
		"unknown group":      {func(s *engine.Submission) { s.Group = "g@e1" }, "group holds 0 tokens"},
		"duplicate attempt":  {func(s *engine.Submission) { s.Attempt = "first" }, "attempt exists"},
		"old fencing token":  {func(s *engine.Submission) { s.Key, s.Fence = "k", 4 }, "fencing token is old"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(engine.DefaultSettings(), "e1")
				defer fleet.close()
				first := submission("first", 10)
				first.Key, first.Fence = "k", 5
				assert.NilError(t, fleet.engines["e1"].Submit(first))
				second := submission("second", 10)
				test.change(&second)
				assert.ErrorContains(t, fleet.engines["e1"].Submit(second), test.want)
			})
		})
	}
}

func TestCommands(t *testing.T) {
	loadCommand := engine.Command{Kind: engine.CommandLoad, Token: 5, Model: "audit"}
	cases := map[string]struct {
		checksFencing bool
		commands      []engine.Command
		// want is the error of the last command, or empty.
		want   string
		served bool
	}{
		"a model is served after it is loaded":                  {checksFencing: true, commands: []engine.Command{loadCommand}, served: true},
		"a newer command supersedes a load":                     {checksFencing: true, commands: []engine.Command{loadCommand, {Kind: engine.CommandRole, Token: 6}}},
		"an older command is refused if tokens are checked":     {checksFencing: true, commands: []engine.Command{loadCommand, {Kind: engine.CommandRole, Token: 4}}, want: "token 4 is older than 5", served: true},
		"an older command is accepted if tokens aren't checked": {commands: []engine.Command{loadCommand, {Kind: engine.CommandRole, Token: 4}}, served: true},
		"a command without a kind is refused":                   {checksFencing: true, commands: []engine.Command{{Token: 1}}, want: `no order of kind ""`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := engine.New("e1", []string{model}, test.checksFencing, engine.DefaultSettings(), execution.New(), nil,
					func(context.Context, string) error {
						time.Sleep(loadTime)
						return nil
					})
				var err error
				for _, command := range test.commands {
					err = target.Apply(command)
				}
				if test.want == "" {
					assert.NilError(t, err)
				} else {
					assert.ErrorContains(t, err, test.want)
				}
				request := submission("early", 10)
				request.Model = "audit"
				assert.ErrorContains(t, target.Submit(request), "is not loaded")
				time.Sleep(loadTime + time.Second)
				assert.Equal(t, target.Submit(request) == nil, test.served)
			})
		})
	}
}

func TestImportedMemorySavesPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := engine.DefaultSettings()
		settings.CacheEventLoss = 0
		fleet := newFleet(settings, "e1", "e2")
		defer fleet.close()
		elapsed := make(map[string]time.Duration)
		for _, id := range []string{"e1", "e2"} {
			started := time.Now()
			assert.NilError(t, fleet.engines[id].Submit(submission("a1", 100_000)))
			_, end := read(fleet.engines[id], "a1", 0)
			assert.Equal(t, end, backend.EndCompleted)
			elapsed[id] = time.Since(started)
			if id == "e1" {
				kv, ok := fleet.engines["e1"].Export(t.Context(), "a1")
				assert.Assert(t, ok)
				assert.Assert(t, fleet.engines["e2"].Import(t.Context(), kv))
				assert.Equal(t, len(fleet.engines["e2"].CacheEvents(0)), 0)
				time.Sleep(settings.CacheEventLag + time.Millisecond)
				assert.Equal(t, len(fleet.engines["e2"].CacheEvents(0)), len(kv.Blocks))
			}
		}
		assert.Assert(t, elapsed["e2"] < elapsed["e1"]/10, "%v", elapsed)
	})
}

func TestPausedStreamKeepsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := engine.DefaultSettings()
		fleet := newFleet(settings, "e1")
		defer fleet.close()
		target := fleet.engines["e1"]
		assert.NilError(t, target.Submit(submission("a1", 100_000)))
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, target.Pause("a1", true))
		time.Sleep(5 * time.Second)
		info, _ := target.Info("a1")
		assert.Equal(t, info.Tokens, 0)
		assert.Assert(t, target.CurrentLoad().FreeTokens < settings.MemoryTokens)
		assert.Assert(t, target.Pause("a1", false))
		_, end := read(target, "a1", 0)
		assert.Equal(t, end, backend.EndCompleted)
	})
}
