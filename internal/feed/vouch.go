package feed

import (
	"context"

	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// vouchers is how many VMs are asked about the first page, each of which knows as much.
const vouchers = 2

// vouched returns the first page that this VM gets of the store, or what another VM knows in its place. A store that
// ever came back older may have done so a moment ago: then it tells a configuration that is over, and servers that have
// gone, and those that saw it return know better. Where nobody says when that was, as after all VMs were killed, it
// counts as a moment ago: a key that was removed would be accepted until the operator has written that again.
func (log *Log) vouched(ctx context.Context, page follower.Page) follower.Page {
	if !log.noteRead() || page.Epoch == 0 {
		return page
	}
	for _, address := range log.others(ctx) {
		told, err := log.readThrough(ctx, address, follower.Position{}, 0, "")
		switch {
		case err != nil:
			continue
		case told.Unsettled:
			log.logger.Info("log begun elsewhere", "log", log.name, "address", address, "epoch", told.Epoch, "age", told.Age)
			return told
		default:
			return page
		}
	}
	log.epochs.Unsettle()
	return page
}

// noteRead notes that a page came, and reports whether it is the first one.
func (log *Log) noteRead() bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	first := !log.read
	log.read = true
	return first
}

// others returns whom to ask, for which it waits as long as it takes to meet them.
func (log *Log) others(ctx context.Context) []string {
	for {
		addresses, settled := log.members.Others(vouchers)
		if settled || log.now().Sub(log.begun) >= log.settings.Meet || !wait.For(ctx, meetTick) {
			return addresses
		}
	}
}
