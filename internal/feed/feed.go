// Package feed lets the VMs of a data centre read the platform's store through
// one of them, so that calls to the store do not grow with the number of VMs.
// What a VM reads from another one comes with its age, so that a chain of VMs
// never makes a belief look younger than it is.
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

// Path of a page, and names in its query.
const (
	path        = "/feed"
	queryLog    = "log"
	queryOffset = "offset"
	queryEpoch  = "epoch"
	queryWait   = "wait_ms"
	// queryAwait says that the asker has nobody better to ask.
	queryAwait = "await"
)

// everything is the offset of a question for the newest value of all keys.
const everything = -1

// maxWait bounds what others may ask a VM to wait.
const maxWait = 30 * time.Second

// Role is a VM's part in reading the store.
type Role struct {
	// Ask is the address of the VM that reads for this one. It is empty when
	// this VM reads itself.
	Ask string
	// Serves says that others depend on what this VM reads.
	Serves bool
	// Before has the addresses of VMs that would read for this one, and that the store
	// does not answer.
	Before []string
	// Unsettled says that this VM does not know yet who else is there.
	Unsettled bool
}

// Members says which part this VM has.
type Members interface {
	// Role returns the part of this VM. With fewer than least live VMs in the data
	// centre each reads itself; one that is avoided is not asked.
	Role(least int, avoid func(address string) bool) Role
	// Others returns the addresses of live VMs of any data centre, those that run longest first. It reports false
	// while it is not known yet who is there.
	Others(most int) ([]string, bool)
}

// Log is a log that is read through another VM, or directly when there is none
// or it fails.
type Log struct {
	name    string
	direct  follower.Log
	members Members
	// bound returns within what time changes must be known.
	bound    func() time.Duration
	client   *http.Client
	settings Settings
	epochs   *epoch.Watch
	logger   *slog.Logger
	now      func() time.Time

	mu sync.Mutex
	// avoided has until when VMs are not asked, by address.
	avoided map[string]time.Time
	// asked is who was asked last, empty for the store.
	asked string
	// begun is when this VM started.
	begun time.Time
	// failed is when this VM asked the store last, if that did not answer, or zero.
	failed time.Time
	// read says that a page came.
	read bool
}

var _ follower.Log = (*Log)(nil)

// New returns the log of that name, which is read at direct when no other VM
// reads it for this one. Changes must be known within bound.
func New(
	name string, direct follower.Log, members Members, bound func() time.Duration,
	transport http.RoundTripper, settings Settings, epochs *epoch.Watch, logger *slog.Logger, now func() time.Time,
) *Log {
	return &Log{
		name: name, direct: direct, members: members, bound: bound, client: &http.Client{Transport: transport},
		settings: settings, epochs: epochs, logger: logger, now: now,
		avoided: make(map[string]time.Time), begun: now(),
	}
}

// meetTick is the time between looks whether this VM knows the others.
const meetTick = 10 * time.Millisecond

// Read implements follower.Log.
func (log *Log) Read(ctx context.Context, from follower.Position, wait time.Duration) (follower.Page, error) {
	log.meet(ctx)
	asked := log.now()
	page, role, err := log.readElsewhere(ctx, from)
	if err == nil {
		log.noteRead()
		return page, nil
	}
	if !errors.Is(err, errNobody) {
		wait = 0 // much time is over since the last proof
	}
	if role.Serves {
		wait = min(wait, log.readerWait())
	}
	if address := log.awaited(role); address != "" {
		page, err = log.readThrough(ctx, address, from, log.settings.Wait, "&"+queryAwait)
		if err == nil || errors.Is(err, errNothing) || ctx.Err() != nil {
			return page, err
		}
		// One that is not reached says nothing of the store.
	}
	late := log.now().Sub(asked)
	page, err = log.direct.Read(ctx, from, wait)
	log.noteDirect(err)
	if err != nil {
		return page, err //nolint:wrapcheck // the log says what failed
	}
	page.Age -= late // the store was asked that much later
	return log.vouched(ctx, page), nil
}

// fewReaders is how many VMs of a data centre ask a store that is away all the time.
const fewReaders = 2

// awaited returns where this VM waits for the store to come back, or nothing when it asks
// the store itself.
func (log *Log) awaited(role Role) string {
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(role.Before) < fewReaders || log.failed.IsZero() || log.now().Sub(log.failed) >= log.settings.Probe {
		return ""
	}
	return role.Before[rand.IntN(fewReaders)] //nolint:gosec // no secret
}

// noteDirect notes whether the store answered. That changes are gone is an answer: taken for none it would keep a VM
// waiting for readers that the store turned away, with what it knew before.
func (log *Log) noteDirect(err error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.failed = time.Time{}
	if err != nil && !errors.Is(err, follower.ErrTrimmed) {
		log.failed = log.now()
	}
}

// meet waits until this VM knows whom to ask, at its start.
func (log *Log) meet(ctx context.Context) {
	for log.now().Sub(log.begun) < log.settings.Meet && log.role().Unsettled {
		if !wait.For(ctx, meetTick) {
			return
		}
	}
}

// errNobody says that no other VM reads for this one.
var errNobody = errors.New("feed: nobody to ask")

// readElsewhere asks other VMs, and returns the part of this one as it is then.
func (log *Log) readElsewhere(ctx context.Context, from follower.Position) (follower.Page, Role, error) {
	asked := log.now()
	failed := errNobody
	for range log.settings.Tries {
		role := log.role()
		log.noteAsked(role.Ask)
		if role.Ask == "" {
			return follower.Page{}, role, failed
		}
		page, err := log.readThrough(ctx, role.Ask, from, log.settings.Wait, "")
		if err == nil {
			return page, role, nil
		}
		log.avoid(role.Ask, err)
		failed = err
		if log.now().Sub(asked) > log.settings.Patience {
			break // the bound leaves no time for another one
		}
	}
	return follower.Page{}, log.role(), failed
}

// role is the part of this VM.
func (log *Log) role() Role {
	if log.maxAge() <= leastAge {
		return Role{}
	}
	return log.members.Role(log.settings.MinMembers, log.avoids)
}

// leastAge is the age that another VM's content must be allowed to have so that reading through it is worth it.
const leastAge = 600 * time.Millisecond

// readerWait bounds how long a question waits at the store when others depend on the answer.
func (log *Log) readerWait() time.Duration {
	return time.Duration(log.settings.ReaderPart * float64(log.maxAge()))
}

// maxAge is how old another VM's content may be, so that a change that it does
// not have yet is known within the bound by the next question.
func (log *Log) maxAge() time.Duration {
	return log.bound() - log.settings.Margin - log.settings.Wait - log.settings.Patience
}

// readThrough asks another VM, how being added to the query.
func (log *Log) readThrough(ctx context.Context, address string, from follower.Position, wait time.Duration, how string) (follower.Page, error) {
	bounded, cancel := context.WithTimeout(ctx, wait+log.settings.Patience)
	defer cancel()
	if current, known := log.epochs.Current(); known && current != from.Epoch {
		from = follower.Position{Epoch: current} // its offset says nothing in the epoch in force
	}
	offset, some := from.Offset()
	if !some {
		offset = everything
	}
	target := "http://" + address + path + "?" + queryLog + "=" + log.name +
		"&" + queryOffset + "=" + strconv.FormatInt(offset, 10) +
		"&" + queryEpoch + "=" + strconv.FormatInt(int64(from.Epoch), 10) +
		"&" + queryWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10) + how
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, target, nil)
	if err != nil {
		return follower.Page{}, errors.Wrap(err, "feed")
	}
	page, err := log.get(request)
	if err != nil {
		return follower.Page{}, err
	}
	if page.Age > log.maxAge() && !page.Unsettled {
		return follower.Page{}, errors.Newf("feed: content is %s old", page.Age)
	}
	return page, nil
}

// avoids reports whether a VM did not answer lately.
func (log *Log) avoids(address string) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.now().Before(log.avoided[address])
}

func (log *Log) avoid(address string, err error) {
	log.logger.Info("feed of another VM not taken", "log", log.name, "address", address, "error", err)
	log.mu.Lock()
	defer log.mu.Unlock()
	time := log.settings.Avoid
	if errors.Is(err, errNothing) {
		time = log.settings.AvoidLost
	}
	log.avoided[address] = log.now().Add(time)
}

// noteAsked logs when another VM is asked than before.
func (log *Log) noteAsked(address string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if address == log.asked {
		return
	}
	log.asked = address
	log.logger.Info("log read elsewhere", "log", log.name, "address", address, "directly", address == "")
}
