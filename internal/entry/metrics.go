package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/mastwinch/mastwinch/internal/request"
)

const metricsNamespace = "mastwinch_entry"

// metrics are the Prometheus metrics of an entry.
type metrics struct {
	outcomes     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	dropped      prometheus.Counter
	firstToken   *prometheus.HistogramVec
	adopted      prometheus.Counter
	resumed      prometheus.Counter
	decisionTime prometheus.Histogram
	// panics counts handlers that panicked.
	panics prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, running func() int, nextOffset func() uint64) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "requests_running", Help: "Requests that have not ended.",
	}, func() float64 { return float64(running()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "next_offset", Help: "Offset of the next log entry to apply.",
	}, func() float64 { return float64(nextOffset()) })
	return &metrics{
		outcomes: vector("outcomes_total", "Ended requests.", "outcome", "reason"),
		refusals: vector("refusals_total", "Requests refused at admission.", "reason"),
		attempts: vector("attempts_total", "Dispatches to backend servers.", "result"),
		dropped:  counter("frames_dropped_total", "Frames that were late, doubled or foreign."),
		firstToken: factory.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "first_token_seconds",
			Help:      "Time from admission to the first token.",
			Buckets:   prometheus.ExponentialBuckets(0.004, 2, 14),
		}, []string{"length"}),
		adopted: counter("adopted_total", "Requests of other entries taken over."),
		resumed: counter("resumed_total", "Streams opened again after a cut to the engine."),
		decisionTime: factory.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "decision_seconds",
			Help:      "Time of one routing decision.",
			Buckets:   prometheus.ExponentialBuckets(1e-6, 4, 8),
		}),
		panics: counter("panics_total", "Handlers that panicked, which is a fault of the program."),
	}
}

func (metrics *metrics) recordEnd(outcome request.Outcome) {
	metrics.outcomes.WithLabelValues(string(outcome.Kind), string(outcome.Reason)).Inc()
}
