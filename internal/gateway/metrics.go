package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/tunnel"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// Label names of the metrics.
const (
	labelRoute        = "route"
	labelKind         = "kind"
	labelStatus       = "status"
	labelReason       = "reason"
	labelResult       = "result"
	labelNotice       = "notice"
	labelPriority     = "priority"
	labelService      = "service"
	labelOrganisation = "organisation"
)

// metrics are the Prometheus metrics of a gateway.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	notices  *prometheus.CounterVec
	// priorities counts requests by the priority within their service.
	priorities *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
	eventDelay prometheus.Histogram
	// containedWaits counts requests that waited for another one under which servers may crash.
	containedWaits prometheus.Counter
	// probes counts probes of servers by their result.
	probes *prometheus.CounterVec
	// endChecks counts checks whether a server's process ended, by their result.
	endChecks *prometheus.CounterVec
	// panics counts handlers that panicked.
	panics prometheus.Counter
}

func newMetrics(gateway *Gateway) *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 15) //nolint:mnd // 1 ms to 16 s
	metrics := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastwinch_requests_total", Help: "Requests that ended, by how.",
		}, []string{labelRoute, labelKind, labelStatus, labelReason}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastwinch_attempts_total", Help: "Requests sent to servers, by how it came out.",
		}, []string{labelResult}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastwinch_server_notices_total", Help: "Answers in which servers spoke of themselves, by what they said.",
		}, []string{labelNotice}),
		priorities: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastwinch_requests_by_priority_total", Help: "Requests that ended, by priority (0 first) and why they were refused.",
		}, []string{labelPriority, labelReason}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mastwinch_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: buckets,
		}, []string{labelRoute}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mastwinch_request_seconds", Help: "Time from a request's head to its end.", Buckets: buckets,
		}, []string{labelRoute, labelKind}),
		eventDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mastwinch_event_write_seconds", Help: "Time for passing on one event.", Buckets: buckets,
		}),
		containedWaits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mastwinch_contained_waits_total", Help: "Requests that waited for another one under which servers may crash.",
		}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastwinch_probes_total", Help: "Probes of servers while this VM's own links were in doubt, by how they came out.",
		}, []string{labelResult}),
		endChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastwinch_end_checks_total", Help: "Checks whether a server's process ended, after a connection to it was lost, by what came out.",
		}, []string{labelResult}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mastwinch_panics_total", Help: "Handlers of requests that panicked, which is a fault of the program.",
		}),
	}
	metrics.registry.MustRegister(metrics.requests, metrics.attempts, metrics.notices, metrics.priorities, metrics.firstEvent, metrics.duration,
		metrics.eventDelay, metrics.containedWaits, metrics.probes, metrics.endChecks, metrics.panics, newOverSharesCollector(gateway),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_running_requests", Help: "Requests in progress.",
		}, func() float64 { return float64(gateway.inFlight.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_body_bytes", Help: "Bodies of requests in progress.",
		}, func() float64 { return float64(gateway.bodyMemory.usedBytes.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_answer_bytes", Help: "Room taken for answers of servers that callers have not read.",
		}, func() float64 { return float64(gateway.responseMemory.usedBytes.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_configuration_age_seconds", Help: "Age of the proof that the configuration is current.",
		}, func() float64 {
			age, _ := gateway.configuration.Age()
			return age.Seconds()
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_members", Help: "VMs of the system that were heard lately.",
		}, func() float64 {
			members, _ := gateway.exchange.Members()
			return float64(members)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mastwinch_bad_entries_total", Help: "Entries of the platform's store that could not be read.",
		}, func() float64 {
			return float64(gateway.directory.InvalidCount() + gateway.configuration.InvalidCount())
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_resting_servers", Help: "Servers that want nothing from this VM now.",
		}, func() float64 { return float64(len(gateway.pool.BackoffServers(gateway.site.VM))) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_limited_servers", Help: "Servers that named how many requests a second they take, as this VM knows.",
		}, func() float64 { return float64(gateway.pool.RateLimited()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_counted_prefills", Help: "Organisations, by service and length of request, whose recent prefills this VM counts.",
		}, func() float64 { return float64(gateway.pool.CountedPrefills()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_leaving_servers", Help: "Servers that are known to leave and are not gone.",
		}, func() float64 { return float64(gateway.pool.Draining()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_store_epoch", Help: "How often the platform's store came back older than it was.",
		}, func() float64 {
			current, _ := gateway.epochs.Current()
			return float64(current)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_suspects", Help: "Requests and parts of prompts under which servers were lost lately, at a coordinator.",
		}, func() float64 { return float64(len(gateway.quarantine.Suspects())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_quarantined_requests", Help: "Requests kept from servers, since they crash under them.",
		}, func() float64 { return float64(len(gateway.quarantine.Entries())) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mastwinch_connections_opened_total", Help: "Connections opened to servers.",
		}, func() float64 { return float64(gateway.upstream.Openings(upstream.OpenSucceeded)) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mastwinch_late_responses_total", Help: "Responses of servers that were skipped since they belonged to an earlier request.",
		}, func() float64 { return float64(gateway.upstream.LateResponses()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_servers_unreachable", Help: "1 while this VM reaches no backend server over its own links.",
		}, func() float64 {
			if gateway.links.Verdict() == reachability.Unreachable {
				return 1
			}
			return 0
		}),
	)
	registerOpenings(metrics.registry, gateway)
	registerTunnels(metrics.registry, gateway)
	registerSettings(metrics.registry, gateway)
	return metrics
}

// recordEndCheck counts a check whether a server's process ended.
func (metrics *metrics) recordEndCheck(ended bool) {
	result := "not_ended"
	if ended {
		result = "ended"
	}
	metrics.endChecks.WithLabelValues(result).Inc()
}

// registerOpenings registers the counters of connections to servers that failed to open.
func registerOpenings(registry *prometheus.Registry, gateway *Gateway) {
	for _, result := range []upstream.OpenResult{upstream.OpenRefused, upstream.OpenTimedOut, upstream.OpenCancelled} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mastwinch_connections_failed_total", Help: "Connections to servers that could not be opened, by why.",
			ConstLabels: prometheus.Labels{labelResult: string(result)},
		}, func() float64 { return float64(gateway.upstream.Openings(result)) }))
	}
}

// registerTunnels registers the metrics of connections to servers that lead through another VM.
func registerTunnels(registry *prometheus.Registry, gateway *Gateway) {
	for _, result := range tunnel.Results() {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mastwinch_tunnels_total", Help: "Attempts to reach a server through another VM, by how they came out.",
			ConstLabels: prometheus.Labels{labelResult: string(result)},
		}, func() float64 { return float64(gateway.tunnels.Results(result)) }))
	}
	for _, status := range tunnel.Statuses() {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mastwinch_tunnels_served_total", Help: "Requests of other VMs to reach a server through this one, by the answer's status.",
			ConstLabels: prometheus.Labels{labelStatus: strconv.Itoa(status)},
		}, func() float64 { return float64(gateway.tunnelServer.Served(status)) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mastwinch_tunnels_open", Help: "Connections of other VMs to servers that lead through this one.",
	}, func() float64 { return float64(gateway.tunnelServer.Open()) }))
}

func (metrics *metrics) handler() http.Handler {
	return promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{})
}

// lastPriority is the largest priority with a label of its own, so that a configuration can't add
// any number of labels.
const lastPriority = 9

// recordEnd records the outcome and the duration of a request.
func (metrics *metrics) recordEnd(route, kind string, priority int, outcome outcome, elapsed time.Duration) {
	metrics.priorities.WithLabelValues(strconv.Itoa(min(priority, lastPriority)), string(outcome.reason)).Inc()
	metrics.requests.WithLabelValues(route, kind, strconv.Itoa(outcome.status), string(outcome.reason)).Inc()
	metrics.duration.WithLabelValues(route, kind).Observe(elapsed.Seconds())
}
