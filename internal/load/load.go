// Package load is a load generator. It sends a configured mix of requests like
// callers do, checks every response, and reports latencies by class of requests.
// Requests are sent to entries, the HTTP servers of the system for callers.
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

// Number of idle connections kept open, and interval of progress messages.
const (
	maxIdleConns   = 2048
	progressPeriod = 5 * time.Second
)

// Names of the phases: without and with the background classes.
const (
	phaseAlone = "alone"
	phaseMixed = "mixed"
)

// Load is a load run.
type Load struct {
	settings Settings
	client   *http.Client
	backends *backend.HTTPBackend
	logger   *slog.Logger
}

// New returns a load run with the given settings.
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

// Run sends the load and returns the report. If there are background classes, a
// phase without them comes first. An error means that the run was cancelled or the
// record of executions is unavailable; the report then has no check.
func (load *Load) Run(ctx context.Context) (Report, error) {
	report := Report{Seed: load.settings.Seed}
	var results []Result
	if load.hasBackground() {
		phaseResults := load.phase(ctx, phaseAlone, Arrivals(load.settings, false))
		report.Phases = append(report.Phases, newPhase(phaseAlone, phaseResults))
		results = append(results, phaseResults...)
	}
	phaseResults := load.phase(ctx, phaseMixed, Arrivals(load.settings, true))
	report.Phases = append(report.Phases, newPhase(phaseMixed, phaseResults))
	results = append(results, phaseResults...)
	if len(report.Phases) > 1 {
		report.Slowdowns = newSlowdowns(report.Phases[0], report.Phases[1])
	}
	if ctx.Err() != nil {
		return report, errors.Wrap(ctx.Err(), "load run cancelled")
	}
	executions, err := load.executions(ctx)
	if err != nil {
		return report, err
	}
	report.Check = newCheck(results, executions, load.settings.Platform != "")
	load.logViolations(results)
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

// phase sends the arrivals at their scheduled times and waits for all results.
func (load *Load) phase(ctx context.Context, name string, arrivals []Arrival) []Result {
	load.logger.Info("starting phase", "phase", name, "requests", len(arrivals), "duration", load.settings.Duration)
	var mu sync.Mutex
	var requests sync.WaitGroup
	var results []Result
	started := time.Now()
	stop := load.progress(&mu, &results, len(arrivals))
	defer stop()
	for _, arrival := range arrivals {
		wait.For(ctx, time.Until(started.Add(arrival.At)))
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() {
			arrivalResults := load.send(ctx, arrival)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, arrivalResults...)
		})
	}
	requests.Wait()
	return results
}

// send sends an arrival and returns its result, or two results if it is duplicated.
func (load *Load) send(ctx context.Context, arrival Arrival) []Result {
	if arrival.Class.Direct {
		return []Result{submitDirect(ctx, load.backends, load.settings.Engines, arrival)}
	}
	key := ""
	if arrival.Class.Unrepeatable {
		key = newKey()
	}
	if !arrival.Duplicated {
		return []Result{submit(ctx, load.client, load.settings.Entries, arrival, key)}
	}
	second := arrival
	second.EntryIndex = (arrival.EntryIndex + 1) % len(load.settings.Entries)
	secondResult := make(chan Result, 1)
	go func() { secondResult <- submit(ctx, load.client, load.settings.Entries, second, key) }()
	return []Result{submit(ctx, load.client, load.settings.Entries, arrival, key), <-secondResult}
}

// progress logs the number of results periodically until the returned function is
// called.
func (load *Load) progress(mu *sync.Mutex, results *[]Result, total int) func() {
	ticker := time.NewTicker(progressPeriod)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				mu.Lock()
				finished := len(*results)
				mu.Unlock()
				load.logger.Info("requests in progress", "answered", finished, "of", total)
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

// executions returns the requests that the simulated backend servers ran, or nil
// if no platform is configured.
func (load *Load) executions(ctx context.Context) ([]execution.Execution, error) {
	if load.settings.Platform == "" {
		return nil, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, load.settings.Platform+"/admin/executions", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "load: read executions")
	}
	response, err := load.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "load: read executions")
	}
	defer func() { _ = response.Body.Close() }()
	var executions []execution.Execution
	err = json.NewDecoder(response.Body).Decode(&executions)
	return executions, errors.Wrap(err, "load: read executions")
}

// logViolations logs each result that violates a guarantee.
func (load *Load) logViolations(results []Result) {
	for _, result := range results {
		check := newCheck([]Result{result}, nil, true)
		if check.Violated() {
			load.logger.Warn("guarantee violated", "answer", result.String(), "total", result.Total,
				"time", result.Arrival.Class.Time, "tokens", result.Tokens, "resumes", result.Resumes,
				"lost", check.Lost, "late", check.Late, "doubled", check.DoubledTokens, "missing", check.MissingTokens, "foreign", check.ForeignTokens)
		}
	}
}
