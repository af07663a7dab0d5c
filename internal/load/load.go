// Package load sends a stated mix of requests as real callers would, checks
// every answer, and reports times by class.
package load

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Connections that callers keep open.
const (
	maxIdleConns   = 2048
	progressPeriod = 5 * time.Second
)

// Names of phases.
const (
	phaseAlone = "alone"
	phaseMixed = "mixed"
)

// Load is one run.
type Load struct {
	settings Settings
	client   *http.Client
	backends *backend.HTTPBackend
	logger   *slog.Logger
}

// New returns a run of the load that settings describe.
func New(settings Settings, logger *slog.Logger) *Load {
	return &Load{
		settings: settings,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
		}},
		backends: backend.NewHTTPBackend(),
		logger:   logger,
	}
}

// Run sends the load, first without the background classes if there are any,
// and reports.
func (load *Load) Run(ctx context.Context) (Report, error) {
	report := Report{Seed: load.settings.Seed}
	var all []Answer
	if load.hasBackground() {
		answers := load.phase(ctx, phaseAlone, Arrivals(load.settings, false))
		report.Phases = append(report.Phases, newPhase(phaseAlone, answers))
		all = append(all, answers...)
	}
	answers := load.phase(ctx, phaseMixed, Arrivals(load.settings, true))
	report.Phases = append(report.Phases, newPhase(phaseMixed, answers))
	all = append(all, answers...)
	if len(report.Phases) > 1 {
		report.Slowdowns = newSlowdowns(report.Phases[0], report.Phases[1])
	}
	if ctx.Err() != nil {
		return report, errors.Wrap(ctx.Err(), "load: not finished")
	}
	executions, err := load.executions(ctx)
	if err != nil {
		return report, err
	}
	report.Check = newCheck(all, executions, load.settings.Platform != "")
	load.logBroken(all)
	return report, nil
}

func (load *Load) hasBackground() bool {
	for _, class := range load.settings.Classes {
		if class.Background {
			return true
		}
	}
	return false
}

// phase sends arrivals at their moments and waits for all answers.
func (load *Load) phase(ctx context.Context, name string, arrivals []Arrival) []Answer {
	load.logger.Info("phase starts", "phase", name, "requests", len(arrivals), "duration", load.settings.Duration)
	var mu sync.Mutex
	var all sync.WaitGroup
	var answers []Answer
	started := time.Now()
	stop := load.progress(&mu, &answers, len(arrivals))
	defer stop()
	for _, arrival := range arrivals {
		wait.For(ctx, time.Until(started.Add(arrival.At)))
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			got := load.send(ctx, arrival)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got...)
		})
	}
	all.Wait()
	return answers
}

// send sends an arrival, twice if it is to be duplicated.
func (load *Load) send(ctx context.Context, arrival Arrival) []Answer {
	if arrival.Class.Direct {
		return []Answer{submitDirect(ctx, load.backends, load.settings.Engines, arrival)}
	}
	key := ""
	if arrival.Class.Unrepeatable {
		key = newKey()
	}
	if !arrival.Duplicated {
		return []Answer{submit(ctx, load.client, load.settings.Entries, arrival, key)}
	}
	second := arrival
	second.Entry = (arrival.Entry + 1) % len(load.settings.Entries)
	other := make(chan Answer, 1)
	go func() { other <- submit(ctx, load.client, load.settings.Entries, second, key) }()
	return []Answer{submit(ctx, load.client, load.settings.Entries, arrival, key), <-other}
}

func (load *Load) progress(mu *sync.Mutex, answers *[]Answer, total int) func() {
	ticker := time.NewTicker(progressPeriod)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				mu.Lock()
				answered := len(*answers)
				mu.Unlock()
				load.logger.Info("progress", "answered", answered, "of", total)
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

// executions returns what the stand-ins really ran.
func (load *Load) executions(ctx context.Context) ([]execution.Execution, error) {
	if load.settings.Platform == "" {
		return nil, nil
	}
	asked, err := http.NewRequestWithContext(ctx, http.MethodGet, load.settings.Platform+"/admin/executions", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "load: executions")
	}
	response, err := load.client.Do(asked)
	if err != nil {
		return nil, errors.Wrap(err, "load: executions")
	}
	defer func() { _ = response.Body.Close() }()
	var executions []execution.Execution
	err = json.NewDecoder(response.Body).Decode(&executions)
	return executions, errors.Wrap(err, "load: executions")
}

func (load *Load) logBroken(answers []Answer) {
	for _, answer := range answers {
		check := newCheck([]Answer{answer}, nil, true)
		if check.Broken() {
			load.logger.Warn("promise broken", "answer", answer.String(), "total", answer.Total,
				"time", answer.Arrival.Class.Time, "tokens", answer.Tokens, "resumes", answer.Resumes,
				"lost", check.Lost, "late", check.Late, "doubled", check.Doubled, "missing", check.Missing, "foreign", check.Foreign)
		}
	}
}
