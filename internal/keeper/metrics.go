package keeper

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const metricsNamespace = "mastwinch_keeper"

// metrics are the Prometheus metrics of a keeper.
type metrics struct {
	appends       prometheus.Counter
	appendErrors  prometheus.Counter
	appendRecords prometheus.Counter
	appendSeconds prometheus.Histogram
	checkpoints   prometheus.Counter
	nextOffset    prometheus.Gauge
	subscribers   prometheus.Gauge
	logUp         prometheus.Gauge
	vmListUp      prometheus.Gauge
	settled       prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return factory.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
	}
	return &metrics{
		appends:       counter("log_appends_total", "Appends sent to the log."),
		appendErrors:  counter("log_append_errors_total", "Appends without a good answer."),
		appendRecords: counter("log_append_records_total", "Records in appends sent to the log."),
		appendSeconds: factory.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "log_append_seconds",
			Help:      "Time of an append.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		checkpoints: counter("checkpoints_total", "Checkpoints written."),
		nextOffset:  gauge("next_offset", "Offset of the next log entry to apply."),
		subscribers: gauge("subscribers", "Processes that get the state from this keeper."),
		logUp:       gauge("log_up", "Whether the last read of the log succeeded."),
		vmListUp:    gauge("vm_list_up", "Whether the last read of the VM list succeeded."),
		settled:     counter("settled_total", "Attempts settled because their owner gave no outcome."),
	}
}
