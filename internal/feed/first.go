package feed

import (
	"context"

	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// firstOthers is how many VMs are asked at the start, each of which knows as much.
const firstOthers = 2

// first asks other VMs before anything was read, whether the store came back older a moment ago: then they know what
// it lost, and the store alone would tell a configuration that is over, or servers that have gone. It reports false
// otherwise, and from then on.
func (log *Log) first(ctx context.Context) (follower.Page, bool) {
	if !log.isFirst() {
		return follower.Page{}, false
	}
	for _, address := range log.others(ctx) {
		page, err := log.readThrough(ctx, address, follower.Position{}, 0, "")
		if err != nil {
			continue
		}
		if page.Unsettled {
			log.logger.Info("log begun elsewhere", "log", log.name, "address", address, "epoch", page.Epoch, "age", page.Age)
			return page, true
		}
		log.noteVouched()
	}
	return follower.Page{}, false
}

// isFirst reports whether nothing was read before, once.
func (log *Log) isFirst() bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	first := !log.begins
	log.begins = true
	return first
}

// others returns whom to ask, for which it waits as long as it takes to meet them.
func (log *Log) others(ctx context.Context) []string {
	for {
		addresses, settled := log.members.Others(firstOthers)
		if settled || log.now().Sub(log.begun) >= log.settings.Meet || !wait.For(ctx, meetTick) {
			return addresses
		}
	}
}

func (log *Log) noteVouched() {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.vouched = true
}

// doubt treats what the store tells at the start as unsettled if it ever came back older and nobody else knows since
// when: where all VMs start again, a key that was removed would be accepted until the operator has written that again.
func (log *Log) doubt() {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.vouched {
		return
	}
	log.vouched = true
	if current, known := log.epochs.Current(); known && current > 0 {
		log.epochs.Unsettle()
	}
}
