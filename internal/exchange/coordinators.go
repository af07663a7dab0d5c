package exchange

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/rendezvous"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// coordinatorKey is the rendezvous key that ranks VMs as coordinators.
const coordinatorKey = "coordinator"

// Evaluates implements quarantine.Publisher. It reports whether this VM is a coordinator, and so receives what all others
// observe of the servers. A VM without live peers is its own coordinator.
func (exchange *Exchange) Evaluates() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.isCoordinator(exchange.self.VM)
}

// Coordinators returns the VMs that requests for servers may be sent to, the preferred one first. This VM may be among
// them. Unresponsive VMs are left out until a datagram arrives from them. Coordinators that have not warmed up come
// last, since they have not received the reports of all VMs yet.
func (exchange *Exchange) Coordinators() []string {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	var warm, cold []string
	for _, vm := range exchange.currentCoordinators() {
		switch {
		case vm != exchange.self.VM && exchange.peers[vm].unresponsive:
		case exchange.warm(vm):
			warm = append(warm, vm)
		default:
			cold = append(cold, vm)
		}
	}
	return append(warm, cold...)
}

// ReportUnresponsive marks a VM that did not respond as unresponsive, until a datagram arrives from it.
func (exchange *Exchange) ReportUnresponsive(vm string) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if peer := exchange.peers[vm]; peer != nil && !peer.unresponsive {
		peer.unresponsive = true
		exchange.logger.Info("VM marked unresponsive", "peer", vm)
	}
}

// warm reports whether a VM has run, and has been a coordinator, for at least CoordinatorWarmUp, so that it has
// received the reports of all VMs. It is false for a VM whose start time is unknown.
func (exchange *Exchange) warm(vm string) bool {
	since := exchange.startedAt
	if vm != exchange.self.VM {
		since = exchange.peers[vm].startedAt
	}
	if since.IsZero() {
		return false
	}
	if selected := exchange.coordinatorSince[vm]; selected.After(since) {
		since = selected
	}
	return exchange.now().Sub(since) >= exchange.settings.CoordinatorWarmUp
}

// currentCoordinators returns the coordinators, and records since when each of them is one.
func (exchange *Exchange) currentCoordinators() []string {
	currentCoordinators, _ := exchange.selectCoordinators()
	maps.DeleteFunc(exchange.coordinatorSince, func(vm string, _ time.Time) bool { return !slices.Contains(currentCoordinators, vm) })
	for _, vm := range currentCoordinators {
		if _, found := exchange.coordinatorSince[vm]; !found {
			exchange.coordinatorSince[vm] = exchange.now()
		}
	}
	return currentCoordinators
}

// selectCoordinators returns the coordinators, and the VMs that are down but rank before them. It takes the first live VM
// of each data centre, data centres in the order of their first VMs, so that a partition of one data centre leaves
// coordinators in others. Where there are too few data centres it then takes their second VMs, and so on. VMs that send
// heartbeats to all returned VMs select the same coordinators.
func (exchange *Exchange) selectCoordinators() (selected, down []string) {
	count := exchange.settings.Coordinators
	exchange.ensureRanking()
	dataCentreRankings := slices.Clone(exchange.dataCentreRankings)
	for progress := true; progress; {
		progress = false
		for index, group := range dataCentreRankings {
			if len(selected) == count {
				return selected, down
			}
			live := slices.IndexFunc(group, exchange.isLive)
			skipped := group[:max(0, live)]
			if live < 0 {
				skipped = group
			}
			down = append(down, skipped...)
			dataCentreRankings[index] = nil
			if live >= 0 {
				selected = append(selected, group[live])
				dataCentreRankings[index] = group[live+1:]
				progress = true
			}
		}
	}
	return selected, down
}

// isCoordinator reports whether a VM is one of the current coordinators.
func (exchange *Exchange) isCoordinator(vm string) bool {
	return slices.Contains(exchange.currentCoordinators(), vm)
}

// member returns the record of this VM or of a known peer. It panics for any other VM.
func (exchange *Exchange) member(vm string) Member {
	if vm == exchange.self.VM {
		return exchange.self
	}
	return exchange.peers[vm].Member
}

func (exchange *Exchange) dataCentre(vm string) string {
	return exchange.member(vm).DataCentre
}

func (exchange *Exchange) capacity(vm string) int {
	return exchange.member(vm).Capacity
}

func (exchange *Exchange) isLive(vm string) bool {
	return vm == exchange.self.VM || exchange.live(exchange.peers[vm])
}

// ensureRanking builds the rankings of all VMs unless they are current. The order is the same at all VMs. VMs with the
// greatest link capacity come first, since they have the most processor time too. The rankings are cached until a VM
// changes, because the coordinators are looked up several times for each request.
func (exchange *Exchange) ensureRanking() {
	if exchange.coordinatorRanking != nil {
		return
	}
	exchange.dataCentreRankings = nil
	exchange.readerRankings = make(map[string][]string)
	exchange.insertRanked(exchange.self.VM)
	for vm := range exchange.peers {
		exchange.insertRanked(vm)
	}
}

// insertRanked inserts a new VM into the rankings.
func (exchange *Exchange) insertRanked(vm string) {
	dataCentre := exchange.dataCentre(vm)
	exchange.coordinatorRanking = insertSorted(exchange.coordinatorRanking, vm, exchange.compareCoordinators)
	exchange.readerRankings[dataCentre] = insertSorted(exchange.readerRankings[dataCentre], vm, exchange.compareReaders)
	sameDataCentre := func(group []string) bool { return exchange.dataCentre(group[0]) == dataCentre }
	if index := slices.IndexFunc(exchange.dataCentreRankings, sameDataCentre); index >= 0 {
		exchange.dataCentreRankings[index] = insertSorted(exchange.dataCentreRankings[index], vm, exchange.compareCoordinators)
	} else {
		exchange.dataCentreRankings = append(exchange.dataCentreRankings, []string{vm})
	}
	slices.SortFunc(exchange.dataCentreRankings, func(a, b []string) int { return exchange.compareCoordinators(a[0], b[0]) })
}

// insertSorted inserts vm into the sorted vms and returns the result.
func insertSorted(vms []string, vm string, compare func(a, b string) int) []string {
	index, _ := slices.BinarySearchFunc(vms, vm, compare)
	return slices.Insert(vms, index, vm)
}

// compareCoordinators orders VMs by preference as coordinator: by descending link capacity, then by rendezvous hashing.
func (exchange *Exchange) compareCoordinators(a, b string) int {
	return cmp.Or(
		cmp.Compare(exchange.capacity(b), exchange.capacity(a)),
		rendezvous.Compare(coordinatorKey, a, b),
	)
}

// ranking returns all VMs in order of preference as coordinator.
func (exchange *Exchange) ranking() []string {
	exchange.ensureRanking()
	return exchange.coordinatorRanking
}

// announcedCoordinators returns the coordinators as they are sent to other VMs, with the number of VMs ever known and the
// number of live VMs.
func (exchange *Exchange) announcedCoordinators() (announcedCoordinators []*wire.Peer, knownCount, live uint32) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.encodePeers(exchange.currentCoordinators()), uint32(exchange.knownCount()), uint32(exchange.liveCount()) //nolint:gosec // number of VMs
}

func (exchange *Exchange) encodePeers(vms []string) []*wire.Peer {
	peers := make([]*wire.Peer, 0, len(vms))
	for _, vm := range vms {
		member := exchange.member(vm)
		peers = append(peers, &wire.Peer{
			Vm: member.VM, Address: member.Address, DataCentre: member.DataCentre,
			Capacity: uint32(member.Capacity), //nolint:gosec // link capacity in Mbit/s
		})
	}
	return peers
}

// heartbeatTargets returns the addresses that this VM sends heartbeats to: the coordinators, the reader candidates of its
// own data centre, and some VMs that are down and rank before these.
func (exchange *Exchange) heartbeatTargets() []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	heartbeatTargets := make(map[string]bool)
	coordinators, down := exchange.selectCoordinators()
	readerCandidates, downReaders := exchange.readerCandidates()
	down = exchange.downSample(append(down, downReaders...))
	for _, vm := range slices.Concat(coordinators, readerCandidates, down) {
		heartbeatTargets[vm] = true
	}
	delete(heartbeatTargets, exchange.self.VM)
	addresses := make([]net.Addr, 0, len(heartbeatTargets))
	for vm := range heartbeatTargets {
		addresses = append(addresses, exchange.peers[vm].address)
	}
	return addresses
}

// readerCandidates returns the first live VMs of this data centre in the order of readers, including live ones that the
// store doesn't respond to, and the VMs before them that are down.
func (exchange *Exchange) readerCandidates() (readerCandidates, down []string) {
	available, storeUnavailable := 0, 0
	exchange.ensureRanking()
	for _, vm := range exchange.readerRankings[exchange.self.DataCentre] {
		switch {
		case available == exchange.settings.Readers, storeUnavailable == 2*exchange.settings.Readers:
			return readerCandidates, down // if the store responds to none of so many candidates, it is down for all VMs
		case !exchange.isLive(vm):
			down = append(down, vm)
		default:
			if vm != exchange.self.VM && exchange.peers[vm].storeUnavailable {
				storeUnavailable++
			} else {
				available++
			}
			readerCandidates = append(readerCandidates, vm)
		}
	}
	return readerCandidates, down
}

// downSample limits VMs that are down to HelloCount of each data centre, and as many of the others in round-robin order.
// The first of each data centre are included every time, since they are the first to return when all VMs start together.
// The others are rotated because VMs that are gone for good stay in the registry. Any VM that is back names the
// coordinators in its response.
func (exchange *Exchange) downSample(down []string) []string {
	counts := make(map[string]int)
	var downSample, others []string
	for _, vm := range down {
		dataCentre := exchange.dataCentre(vm)
		if counts[dataCentre] < exchange.settings.HelloCount {
			counts[dataCentre]++
			downSample = append(downSample, vm)
		} else {
			others = append(others, vm)
		}
	}
	for range min(exchange.settings.HelloCount, len(others)) {
		downSample = append(downSample, others[exchange.helloCursor%len(others)])
		exchange.helloCursor++
	}
	return downSample
}

// helloTargets returns the addresses that this VM says hello to when it starts or resumes. A candidate for coordinator or
// reader must be known to all VMs, so it says hello to all of them.
func (exchange *Exchange) helloTargets() []net.Addr {
	if exchange.isCandidate() {
		return exchange.allAddresses()
	}
	return exchange.heartbeatTargets()
}

// isCandidate reports whether this VM is a candidate for coordinator, or for reader in its data centre: it is among the
// first in the ranking concerned.
func (exchange *Exchange) isCandidate() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.ensureRanking()
	readerRank := slices.Index(exchange.readerRankings[exchange.self.DataCentre], exchange.self.VM)
	return exchange.isBootstrapVM() || readerRank < exchange.settings.Readers+exchange.settings.HelloCount
}

// isBootstrapVM reports whether this VM is among the first of the ranking, which are in the registry so that starting
// VMs find the rest of the fleet through them.
func (exchange *Exchange) isBootstrapVM() bool {
	return slices.Index(exchange.ranking(), exchange.self.VM) < exchange.bootstrapCount()
}
