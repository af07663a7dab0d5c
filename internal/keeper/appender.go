package keeper

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Limits and delay of the appender.
const (
	maxQueuedRecords = 64 << 10
	maxBatchBytes    = 256 << 10
	// readBackDelay is how long the appender waits, after a failed append, for
	// the records to be read back from the log before it appends them again.
	readBackDelay = 300 * time.Millisecond
)

// errQueueFull is returned when records are proposed faster than the log
// accepts them.
var errQueueFull = errors.New("keeper: append queue is full")

// appender appends records to the log in batches. After an error, records that
// the replica has not read back from the log are appended again. Duplicates in
// the log are harmless, since applying the log accepts a record at most once.
type appender struct {
	log      platformclient.Log
	replica  *replica.Replica
	settings LogSettings
	metrics  *metrics
	logger   *slog.Logger

	mu sync.Mutex
	// queue holds the records that have not been sent to the log, oldest first.
	queue []*proposal
	// pending has the IDs of the records in queue and in flight.
	pending map[string]struct{}
	// nonEmpty receives a value when a record is added to the queue.
	nonEmpty chan struct{}
}

// proposal is a record to append.
type proposal struct {
	record *wire.Record
	// deadline is when the appender stops retrying.
	deadline time.Time
	// verdict receives the verdict when the record has been read back.
	verdict <-chan statemachine.Verdict
	// stop ends the wait for the verdict.
	stop func()
}

func newAppender(
	log platformclient.Log, replica *replica.Replica, settings LogSettings, metrics *metrics, logger *slog.Logger,
) *appender {
	return &appender{
		log:      log,
		replica:  replica,
		settings: settings,
		metrics:  metrics,
		logger:   logger,
		pending:  make(map[string]struct{}),
		nonEmpty: make(chan struct{}, 1),
	}
}

// propose queues a record. A record with the ID of one that is queued or in
// flight is ignored. It returns errQueueFull if the queue is full.
func (appender *appender) propose(record *wire.Record) error {
	appender.mu.Lock()
	defer appender.mu.Unlock()
	if _, ok := appender.pending[record.GetId()]; ok {
		return nil
	}
	if len(appender.queue) >= maxQueuedRecords {
		return errQueueFull
	}
	verdict, stop := appender.replica.Await(record.GetId())
	appender.queue = append(appender.queue, &proposal{
		record:   record,
		deadline: time.Now().Add(appender.settings.ProposalTime),
		verdict:  verdict,
		stop:     stop,
	})
	appender.pending[record.GetId()] = struct{}{}
	select {
	case appender.nonEmpty <- struct{}{}:
	default:
	}
	return nil
}

// run appends queued records in batches until ctx is done.
func (appender *appender) run(ctx context.Context) {
	for {
		select {
		case <-appender.nonEmpty:
		case <-ctx.Done():
			return
		}
		for batch := appender.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = appender.nextBatch() {
			started := time.Now()
			appender.append(ctx, batch)
			wait.For(ctx, appender.settings.AppendInterval-time.Since(started))
		}
	}
}

// nextBatch removes the next batch from the queue. It returns an empty batch if
// the queue is empty.
func (appender *appender) nextBatch() []*proposal {
	appender.mu.Lock()
	defer appender.mu.Unlock()
	size := 0
	count := 0
	for count < len(appender.queue) && count < statemachine.MaxBatch {
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

// append retries until each record of the batch is in the log or past its
// deadline.
func (appender *appender) append(ctx context.Context, batch []*proposal) {
	for len(batch) > 0 {
		err := appender.appendOnce(ctx, batch)
		if err == nil {
			appender.remove(batch)
			return
		}
		if ctx.Err() != nil {
			return
		}
		appender.metrics.appendErrors.Inc()
		appender.logger.Warn("append failed; retrying the records that are not read back from the log",
			"records", len(batch), "error", err)
		wait.For(ctx, readBackDelay)
		batch = appender.retryable(batch, time.Now())
	}
}

// appendOnce sends the batch to the log as one entry. After an error the entry
// may still be in the log.
func (appender *appender) appendOnce(ctx context.Context, batch []*proposal) error {
	records := make([]*wire.Record, 0, len(batch))
	for _, proposal := range batch {
		records = append(records, proposal.record)
	}
	data, err := proto.Marshal(&wire.Batch{Records: records})
	if err != nil {
		return errors.Wrap(err, "keeper: append")
	}
	appendCtx, cancel := context.WithTimeout(ctx, appender.settings.AppendTimeout)
	defer cancel()
	started := time.Now()
	err = appender.log.Append(appendCtx, data)
	appender.metrics.appends.Inc()
	appender.metrics.appendSeconds.Observe(time.Since(started).Seconds())
	appender.metrics.appendRecords.Add(float64(len(records)))
	return err
}

// retryable returns the proposals of batch that were not read back and are not
// past their deadline, and removes the others.
func (appender *appender) retryable(batch []*proposal, now time.Time) []*proposal {
	var remaining, finished []*proposal
	for _, proposal := range batch {
		select {
		case <-proposal.verdict:
			finished = append(finished, proposal)
			continue
		default:
		}
		if now.After(proposal.deadline) {
			finished = append(finished, proposal)
			continue
		}
		remaining = append(remaining, proposal)
	}
	appender.remove(finished)
	return remaining
}

// remove ends the wait for the verdicts of the batch and allows its record IDs
// to be proposed again.
func (appender *appender) remove(batch []*proposal) {
	appender.mu.Lock()
	defer appender.mu.Unlock()
	for _, proposal := range batch {
		proposal.stop()
		delete(appender.pending, proposal.record.GetId())
	}
}
