package keeper

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Bounds of the appender.
const (
	maxQueued     = 64 << 10
	maxBatchBytes = 256 << 10
	// readBackWait is how long records of a failed append are looked for in
	// the log before they are appended again.
	readBackWait = 300 * time.Millisecond
)

// errQueueFull says that the log takes records more slowly than they come.
var errQueueFull = errors.New("keeper: too many records wait for the log")

// appender puts records on the log in batches. A record is settled when the
// replica has read it back; until then it is appended again after an error,
// which is harmless since the fold accepts it at most once.
type appender struct {
	log      infra.Log
	replica  *replica.Replica
	settings LogSettings
	metrics  *metrics
	logger   *slog.Logger

	mu sync.Mutex
	// queue has records not yet on the log, as far as known, oldest first.
	queue []*proposal
	// queued has the IDs of the records in queue and in flight.
	queued map[string]struct{}
	// filled gets a token when the queue is no longer empty.
	filled chan struct{}
}

type proposal struct {
	record *wire.Record
	// expires is when the appender stops trying.
	expires time.Time
	// read is closed when the record has been read back.
	read <-chan fold.Verdict
	stop func()
}

func newAppender(
	log infra.Log, replica *replica.Replica, settings LogSettings, metrics *metrics, logger *slog.Logger,
) *appender {
	return &appender{
		log:      log,
		replica:  replica,
		settings: settings,
		metrics:  metrics,
		logger:   logger,
		queued:   make(map[string]struct{}),
		filled:   make(chan struct{}, 1),
	}
}

// propose queues a record. One that is queued already is not queued twice.
func (appender *appender) propose(record *wire.Record) error {
	appender.mu.Lock()
	defer appender.mu.Unlock()
	if _, ok := appender.queued[record.GetId()]; ok {
		return nil
	}
	if len(appender.queue) >= maxQueued {
		return errQueueFull
	}
	read, stop := appender.replica.Await(record.GetId())
	appender.queue = append(appender.queue, &proposal{
		record:  record,
		expires: time.Now().Add(appender.settings.ProposalTime),
		read:    read,
		stop:    stop,
	})
	appender.queued[record.GetId()] = struct{}{}
	select {
	case appender.filled <- struct{}{}:
	default:
	}
	return nil
}

// run appends batches until ctx is done.
func (appender *appender) run(ctx context.Context) {
	for {
		select {
		case <-appender.filled:
		case <-ctx.Done():
			return
		}
		for batch := appender.take(); len(batch) > 0 && ctx.Err() == nil; batch = appender.take() {
			started := time.Now()
			appender.append(ctx, batch)
			wait.For(ctx, appender.settings.AppendInterval-time.Since(started))
		}
	}
}

// take removes the next batch from the queue.
func (appender *appender) take() []*proposal {
	appender.mu.Lock()
	defer appender.mu.Unlock()
	size := 0
	count := 0
	for count < len(appender.queue) && count < fold.MaxBatch {
		size += proto.Size(appender.queue[count].record)
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	batch := appender.queue[:count:count]
	appender.queue = appender.queue[count:]
	return batch
}

// append tries until all records of the batch are on the log or too old.
func (appender *appender) append(ctx context.Context, batch []*proposal) {
	for len(batch) > 0 {
		err := appender.appendOnce(ctx, batch)
		if err == nil {
			appender.settle(batch)
			return
		}
		if ctx.Err() != nil {
			return
		}
		appender.metrics.appendErrors.Inc()
		appender.logger.Warn("append failed, its records are looked for in the log",
			"records", len(batch), "error", err)
		wait.For(ctx, readBackWait)
		batch = appender.unsettled(batch, time.Now())
	}
}

func (appender *appender) appendOnce(ctx context.Context, batch []*proposal) error {
	records := make([]*wire.Record, 0, len(batch))
	for _, proposal := range batch {
		records = append(records, proposal.record)
	}
	data, err := proto.Marshal(&wire.Batch{Records: records})
	if err != nil {
		return errors.Wrap(err, "keeper: append")
	}
	appending, cancel := context.WithTimeout(ctx, appender.settings.AppendTimeout)
	defer cancel()
	started := time.Now()
	err = appender.log.Append(appending, data)
	appender.metrics.appends.Inc()
	appender.metrics.appendSeconds.Observe(time.Since(started).Seconds())
	appender.metrics.appendRecords.Add(float64(len(records)))
	return err
}

// unsettled returns the proposals of batch that were not read back and are
// not too old, and settles the others.
func (appender *appender) unsettled(batch []*proposal, now time.Time) []*proposal {
	var left, settled []*proposal
	for _, proposal := range batch {
		select {
		case <-proposal.read:
			settled = append(settled, proposal)
			continue
		default:
		}
		if now.After(proposal.expires) {
			settled = append(settled, proposal)
			continue
		}
		left = append(left, proposal)
	}
	appender.settle(settled)
	return left
}

func (appender *appender) settle(batch []*proposal) {
	appender.mu.Lock()
	defer appender.mu.Unlock()
	for _, proposal := range batch {
		proposal.stop()
		delete(appender.queued, proposal.record.GetId())
	}
}
