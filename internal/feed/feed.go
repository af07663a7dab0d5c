// Package feed distributes the logs of the platform's store among the VMs of a
// data centre: a few VMs, the readers, read the store, and the others read from
// them, so that the number of calls to the store does not grow with the number
// of VMs. Each page carries its age, so that reading through a chain of VMs
// never makes content look more recent than it is.
package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// URL path of a page, and the names of its query parameters.
const (
	path        = "/feed"
	queryLog    = "log"
	queryOffset = "offset"
	queryEpoch  = "epoch"
	queryWait   = "wait_ms"
	// queryAwait makes a reader whose source is not responding wait for it instead of failing at once.
	queryAwait = "await"
)

// allKeysOffset is the offset that requests the latest value of every key.
const allKeysOffset = -1

// maxWait bounds the wait that a peer may request.
const maxWait = 30 * time.Second

// Role is the source from which a VM reads the logs, and whether peers read from it.
type Role struct {
	// ReaderAddress is the address of the reader from which this VM reads. It is
	// empty if this VM reads the store itself.
	ReaderAddress string
	// IsReader says that peers read from this VM.
	IsReader bool
	// UnavailableReaders has the addresses of the peers that would be readers for this VM, but to which the store does
	// not respond.
	UnavailableReaders []string
	// MembersUnknown says that this VM has not discovered the other VMs yet.
	MembersUnknown bool
}

// Members gives access to the VMs known to this one.
type Members interface {
	// Role returns the role of this VM. With fewer than minLive live VMs in the data
	// centre each VM reads the store itself. Addresses for which avoid returns true are
	// not chosen as readers.
	Role(minLive int, avoid func(address string) bool) Role
	// LivePeers returns the addresses of at most limit live VMs of any data centre, those
	// with the longest uptime first. It reports false while the members are still unknown.
	LivePeers(limit int) ([]string, bool)
}

// Log reads a log from a peer, or from the store if there is no reader or the
// reader fails. It is safe for concurrent use.
type Log struct {
	name    string
	direct  follower.Log
	members Members
	// maxDelay returns the time within which a change must reach this VM.
	maxDelay func() time.Duration
	client   *http.Client
	settings Settings
	epochs   *epoch.Watch
	logger   *slog.Logger
	now      func() time.Time

	mu sync.Mutex
	// avoidedUntil has the time until which a peer is not used as a reader, by address.
	avoidedUntil map[string]time.Time
	// lastReader is the address of the reader used last, or empty for the store.
	lastReader string
	// startedAt is when this Log was created.
	startedAt time.Time
	// storeFailedAt is when the last read from the store failed; zero if it succeeded.
	storeFailedAt time.Time
	// hasRead says that a page has been received.
	hasRead bool
}

var _ follower.Log = (*Log)(nil)

// New returns the log called name, which is read from direct if no peer can be
// read from. maxDelay returns the time within which a change must reach this VM.
func New(
	name string, direct follower.Log, members Members, maxDelay func() time.Duration,
	transport http.RoundTripper, settings Settings, epochs *epoch.Watch, logger *slog.Logger, now func() time.Time,
) *Log {
	return &Log{
		name: name, direct: direct, members: members, maxDelay: maxDelay, client: &http.Client{Transport: transport},
		settings: settings, epochs: epochs, logger: logger, now: now,
		avoidedUntil: make(map[string]time.Time), startedAt: now(),
	}
}

// membersPollInterval is the time between checks whether the members are known.
const membersPollInterval = 10 * time.Millisecond

// Read implements follower.Log.
func (log *Log) Read(ctx context.Context, from follower.Position, wait time.Duration) (follower.Page, error) {
	log.awaitMembers(ctx)
	startedAt := log.now()
	page, role, err := log.readFromReaders(ctx, from)
	if err == nil {
		log.recordRead()
		return page, nil
	}
	if !errors.Is(err, errNoReader) {
		wait = 0 // reading from peers took time, so a confirmation is needed at once
	}
	if role.IsReader {
		wait = min(wait, log.maxReaderWait())
	}
	if address := log.readerToAwait(role); address != "" {
		page, err = log.readFromPeer(ctx, address, from, log.settings.Wait, "&"+queryAwait)
		if err == nil || errors.Is(err, errNoContent) || ctx.Err() != nil {
			return page, err
		}
		// A reader that cannot be reached gives no information on the store.
	}
	delay := log.now().Sub(startedAt)
	page, err = log.direct.Read(ctx, from, wait)
	log.recordStoreResult(err)
	if err != nil {
		return page, err //nolint:wrapcheck // the log adds the context
	}
	page.Age -= delay // Age is relative to the start of this call, and the store was read later
	return log.verifyFirst(ctx, page), nil
}

// probingReaders is the number of VMs of a data centre that keep calling the store while it is unavailable.
const probingReaders = 2

// readerToAwait returns the address of the reader through which this VM waits for the store
// to recover. It is empty if this VM calls the store itself.
func (log *Log) readerToAwait(role Role) string {
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(role.UnavailableReaders) < probingReaders || log.storeFailedAt.IsZero() || log.now().Sub(log.storeFailedAt) >= log.settings.ProbeInterval {
		return ""
	}
	return role.UnavailableReaders[rand.IntN(probingReaders)] //nolint:gosec // no security depends on it
}

// recordStoreResult records whether the store responded. ErrTrimmed counts as a response: if it counted as a failure,
// the VM would keep its outdated content while it waits for readers to which the store does not respond.
func (log *Log) recordStoreResult(err error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.storeFailedAt = time.Time{}
	if err != nil && !errors.Is(err, follower.ErrTrimmed) {
		log.storeFailedAt = log.now()
	}
}

// awaitMembers waits after the start until the members are known, for at most Settings.MembersTimeout.
func (log *Log) awaitMembers(ctx context.Context) {
	for log.now().Sub(log.startedAt) < log.settings.MembersTimeout && log.role().MembersUnknown {
		if !wait.For(ctx, membersPollInterval) {
			return
		}
	}
}

// errNoReader is returned if no peer is a reader for this VM.
var errNoReader = errors.New("feed: no reader among the peers")

// readFromReaders tries up to Settings.MaxReaders readers, and returns the role of this VM after the last attempt.
func (log *Log) readFromReaders(ctx context.Context, from follower.Position) (follower.Page, Role, error) {
	startedAt := log.now()
	lastErr := errNoReader
	for range log.settings.MaxReaders {
		role := log.role()
		log.logReader(role.ReaderAddress)
		if role.ReaderAddress == "" {
			return follower.Page{}, role, lastErr
		}
		page, err := log.readFromPeer(ctx, role.ReaderAddress, from, log.settings.Wait, "")
		if err == nil {
			return page, role, nil
		}
		log.avoid(role.ReaderAddress, err)
		lastErr = err
		if log.now().Sub(startedAt) > log.settings.ResponseTimeout {
			break // another attempt would exceed the time within which changes must arrive
		}
	}
	return follower.Page{}, log.role(), lastErr
}

// role returns the current role of this VM. A VM reads the store itself if content from peers would be too old for it.
func (log *Log) role() Role {
	if log.maxAge() <= minUsefulAge {
		return Role{}
	}
	return log.members.Role(log.settings.MinMembers, log.isAvoided)
}

// minUsefulAge is the value that maxAge must exceed for reads from peers to be worthwhile.
const minUsefulAge = 600 * time.Millisecond

// maxReaderWait bounds how long a read waits at the store for a change if peers read from this VM.
func (log *Log) maxReaderWait() time.Duration {
	return time.Duration(log.settings.StoreWaitFraction * float64(log.maxAge()))
}

// maxAge returns the largest age at which a page of a peer is used: a change that the
// page lacks then still arrives in time with the next read.
func (log *Log) maxAge() time.Duration {
	return log.maxDelay() - log.settings.DelayMargin - log.settings.Wait - log.settings.ResponseTimeout
}

// readFromPeer reads a page from a peer. extraQuery is appended to the query string.
func (log *Log) readFromPeer(ctx context.Context, address string, from follower.Position, wait time.Duration, extraQuery string) (follower.Page, error) {
	bounded, cancel := context.WithTimeout(ctx, wait+log.settings.ResponseTimeout)
	defer cancel()
	if current, known := log.epochs.Current(); known && current != from.Epoch {
		from = follower.Position{Epoch: current} // the offset has no meaning in the current epoch
	}
	offset, hasOffset := from.Offset()
	if !hasOffset {
		offset = allKeysOffset
	}
	target := "http://" + address + path + "?" + queryLog + "=" + log.name +
		"&" + queryOffset + "=" + strconv.FormatInt(offset, 10) +
		"&" + queryEpoch + "=" + strconv.FormatInt(int64(from.Epoch), 10) +
		"&" + queryWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10) + extraQuery
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, target, nil)
	if err != nil {
		return follower.Page{}, errors.Wrap(err, "feed")
	}
	page, err := log.fetch(request)
	if err != nil {
		return follower.Page{}, err
	}
	if page.Age > log.maxAge() && !page.Unsettled {
		return follower.Page{}, errors.Newf("feed: content of peer is too old: %s", page.Age)
	}
	return page, nil
}

// isAvoided reports whether a peer failed recently, so that it is not used as a reader.
func (log *Log) isAvoided(address string) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.now().Before(log.avoidedUntil[address])
}

// avoid excludes a peer from the choice of readers for a time that depends on err.
func (log *Log) avoid(address string, err error) {
	log.logger.Info("could not read log from peer", "log", log.name, "address", address, "error", err)
	log.mu.Lock()
	defer log.mu.Unlock()
	avoidTime := log.settings.AvoidTime
	if errors.Is(err, errNoContent) {
		avoidTime = log.settings.AvoidTimeNoContent
	}
	log.avoidedUntil[address] = log.now().Add(avoidTime)
}

// logReader logs a change of the reader from which this VM reads.
func (log *Log) logReader(address string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if address == log.lastReader {
		return
	}
	log.lastReader = address
	log.logger.Info("log reader changed", "log", log.name, "address", address, "directly", address == "")
}
