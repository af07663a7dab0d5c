package feed

import (
	"context"

	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// maxVerifyingPeers bounds how many peers are read to verify the first page. The first one that responds suffices; the
// second one is a fallback.
const maxVerifyingPeers = 2

// verifyFirst returns page, or the page of a peer in its place if page is the first one that this VM reads from the
// store and the peer reports a recent store rollback. After a rollback the store returns an outdated configuration and
// servers that no longer exist, and peers that were running before have later content. If no peer can report when the
// rollback was, for example after all VMs were killed, it is assumed to be recent: otherwise a removed key would be
// accepted until the operator writes its removal again.
func (log *Log) verifyFirst(ctx context.Context, page follower.Page) follower.Page {
	if !log.recordRead() || page.Epoch == 0 {
		return page
	}
	for _, address := range log.awaitPeers(ctx) {
		peerPage, err := log.readFromPeer(ctx, address, follower.Position{}, 0, "")
		switch {
		case err != nil:
			continue
		case peerPage.Unsettled:
			log.logger.Info("store rolled back recently; using the page of a peer", "log", log.name, "address", address, "epoch", peerPage.Epoch, "age", peerPage.Age)
			return peerPage
		default:
			return page
		}
	}
	log.epochs.Unsettle()
	return page
}

// recordRead records that a page was received, and reports whether it was the first one.
func (log *Log) recordRead() bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	first := !log.hasRead
	log.hasRead = true
	return first
}

// awaitPeers returns the addresses of live peers. It waits until the members are known, for at most
// Settings.MembersTimeout after the start.
func (log *Log) awaitPeers(ctx context.Context) []string {
	for {
		addresses, known := log.members.LivePeers(maxVerifyingPeers)
		if known || log.now().Sub(log.startedAt) >= log.settings.MembersTimeout || !wait.For(ctx, membersPollInterval) {
			return addresses
		}
	}
}
