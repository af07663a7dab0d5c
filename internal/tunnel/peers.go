package tunnel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is another VM that may serve tunnels.
type Peer struct {
	Address    string
	DataCentre string
}

// Peers returns other VMs, those that are known to be live first.
type Peers interface {
	TunnelPeers() (live, others []Peer)
}

// IsWithin reports whether a VM is in one of the data centres. An empty list has all.
func (peer Peer) IsWithin(dataCentres []string) bool {
	return len(dataCentres) == 0 || slices.Contains(dataCentres, peer.DataCentre)
}

// Requirements are what a request requires of the way to its server. Its zero value allows all ways.
type Requirements struct {
	// DataCentres are those through whose VMs a tunnel may lead; empty allows all.
	DataCentres []string
	// Excluded has the addresses of VMs through which no tunnel may lead.
	Excluded []string
	// EndTold is whether a tunnel may lead only through VMs that tell how the server's side ended.
	EndTold bool
}

// allow reports whether a tunnel may lead through a VM.
func (requirements Requirements) allow(peer Peer) bool {
	return peer.IsWithin(requirements.DataCentres) && !slices.Contains(requirements.Excluded, peer.Address)
}

// untoldMemory is how long a VM that does not tell how the server's side ends is asked after the others.
const untoldMemory = 10 * time.Second

// shuffle spreads the tunnels of many VMs over all that can serve them.
func shuffle(peers []Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] }) //nolint:gosec // not used for security
}

// usable returns the first VMs that meet the requirements and are not avoided, at most Settings.MaxPeers. Those that don't tell how the
// server's side ends come after the others.
func (dialer *Dialer) usable(peers []Peer, requirements Requirements) []Peer {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	now := dialer.now()
	var usable, untold []Peer
	for _, peer := range peers {
		if !requirements.allow(peer) || isCurrent(dialer.avoided, peer.Address, now) {
			continue
		}
		if isCurrent(dialer.untold, peer.Address, now) {
			untold = append(untold, peer)
			continue
		}
		usable = append(usable, peer)
	}
	usable = append(usable, untold...)
	return usable[:min(dialer.settings.MaxPeers, len(usable))]
}

// isCurrent reports whether a VM has an entry that has not expired. It removes one that has.
func isCurrent(entries map[string]time.Time, peer string, now time.Time) bool {
	until, found := entries[peer]
	if found && !now.Before(until) {
		delete(entries, peer)
	}
	return found && now.Before(until)
}

// recordFraming records whether a VM tells how the server's side ends.
func (dialer *Dialer) recordFraming(peer string, tellsEnd bool) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	now := dialer.now()
	if tellsEnd {
		delete(dialer.untold, peer)
		return
	}
	if !isCurrent(dialer.untold, peer, now) {
		dialer.logger.Info("VM does not tell how connections of servers end", "peer", peer)
	}
	dialer.untold[peer] = now.Add(untoldMemory)
}

// avoid avoids a VM for Settings.AvoidTime.
func (dialer *Dialer) avoid(peer string, reason error) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	now := dialer.now()
	if !now.Before(dialer.avoided[peer]) {
		dialer.logger.Info("VM is avoided for tunnels", "peer", peer, "error", reason)
	}
	dialer.avoided[peer] = now.Add(dialer.settings.AvoidTime)
}
