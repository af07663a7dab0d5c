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
const coordinatorOrder = "coordinator"

// Evaluates implements quarantine.Publisher. It reports whether this VM is a coordinator, and so receives what all others
// observe of the servers. A VM without live peers is its own coordinator.
func (exchange *Exchange) Evaluates() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.decides(exchange.self.VM)
}

// Coordinators returns the VMs that requests for servers may be sent to, the preferred one first. This VM may be among
// them. Unresponsive VMs are left out until a datagram arrives from them. Coordinators that have not warmed up come
// last, since they have not received the reports of all VMs yet.
func (exchange *Exchange) Coordinators() []string {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	var warm, cold []string
	for _, vm := range exchange.chosen() {
		switch {
		case vm != exchange.self.VM && exchange.peers[vm].doubted:
		case exchange.warm(vm):
			warm = append(warm, vm)
		default:
			cold = append(cold, vm)
		}
	}
	return append(warm, cold...)
}

// ReportUnresponsive marks a VM that did not answer as unresponsive, until a datagram arrives from it.
func (exchange *Exchange) ReportUnresponsive(vm string) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if peer := exchange.peers[vm]; peer != nil && !peer.doubted {
		peer.doubted = true
		exchange.logger.Info("VM marked unresponsive", "peer", vm)
	}
}

// warm reports whether a VM has run, and has been a coordinator, for at least CoordinatorWarmUp, so that it has
// received the reports of all VMs. It is false for a VM whose start time is unknown.
func (exchange *Exchange) warm(vm string) bool {
	since := exchange.started
	if vm != exchange.self.VM {
		since = exchange.peers[vm].started
	}
	if since.IsZero() {
		return false
	}
	if selected := exchange.chosenSince[vm]; selected.After(since) {
		since = selected
	}
	return exchange.now().Sub(since) >= exchange.settings.Warm
}

// currentCoordinators returns the coordinators, and records since when each of them is one.
func (exchange *Exchange) chosen() []string {
	currentCoordinators, _ := exchange.survey()
	maps.DeleteFunc(exchange.chosenSince, func(vm string, _ time.Time) bool { return !slices.Contains(currentCoordinators, vm) })
	for _, vm := range currentCoordinators {
		if _, found := exchange.chosenSince[vm]; !found {
			exchange.chosenSince[vm] = exchange.now()
		}
	}
	return currentCoordinators
}

// selectCoordinators returns the coordinators, and the VMs that are down but rank before them. It takes the first live VM
// of each data centre, data centres in the order of their first VMs, so that a partition of one data centre leaves
// coordinators in others. Where there are too few data centres it then takes their second VMs, and so on. VMs that send
// heartbeats to all returned VMs select the same coordinators.
func (exchange *Exchange) survey() (selected, down []string) {
	count := exchange.settings.Coordinators
	exchange.arrange()
	dataCentreRankings := slices.Clone(exchange.groups)
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
func (exchange *Exchange) decides(vm string) bool {
	return slices.Contains(exchange.chosen(), vm)
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
func (exchange *Exchange) arrange() {
	if exchange.order != nil {
		return
	}
	exchange.groups = nil
	exchange.byReader = make(map[string][]string)
	exchange.rank(exchange.self.VM)
	for vm := range exchange.peers {
		exchange.rank(vm)
	}
}

// insertRanked inserts a new VM into the rankings.
func (exchange *Exchange) rank(vm string) {
	dataCentre := exchange.dataCentre(vm)
	exchange.order = with(exchange.order, vm, exchange.compareDeciders)
	exchange.byReader[dataCentre] = with(exchange.byReader[dataCentre], vm, exchange.compareReaders)
	sameDataCentre := func(group []string) bool { return exchange.dataCentre(group[0]) == dataCentre }
	if index := slices.IndexFunc(exchange.groups, sameDataCentre); index >= 0 {
		exchange.groups[index] = with(exchange.groups[index], vm, exchange.compareDeciders)
	} else {
		exchange.groups = append(exchange.groups, []string{vm})
	}
	slices.SortFunc(exchange.groups, func(a, b []string) int { return exchange.compareDeciders(a[0], b[0]) })
}

// insertSorted inserts vm into the sorted vms and returns the result.
func with(vms []string, vm string, compare func(a, b string) int) []string {
	index, _ := slices.BinarySearchFunc(vms, vm, compare)
	return slices.Insert(vms, index, vm)
}

// compareCoordinators orders VMs by preference as coordinator: by descending link capacity, then by rendezvous hashing.
func (exchange *Exchange) compareDeciders(a, b string) int {
	return cmp.Or(
		cmp.Compare(exchange.capacity(b), exchange.capacity(a)),
		rendezvous.Compare(coordinatorOrder, a, b),
	)
}

// ranking returns all VMs in order of preference as coordinator.
func (exchange *Exchange) ordered() []string {
	exchange.arrange()
	return exchange.order
}

// announcedCoordinators returns the coordinators as they are sent to other VMs, with the number of VMs ever known and the
// number of live VMs.
func (exchange *Exchange) deciders() (announcedCoordinators []*wire.Peer, knownCount, live uint32) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.encodePeers(exchange.chosen()), uint32(exchange.known()), uint32(exchange.members()) //nolint:gosec // number of VMs
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
func (exchange *Exchange) watched() []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	heartbeatTargets := make(map[string]bool)
	coordinators, down := exchange.survey()
	readerCandidates, downReaders := exchange.readers()
	down = exchange.some(append(down, downReaders...))
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
// store doesn't answer, and the VMs before them that are down.
func (exchange *Exchange) readers() (readerCandidates, down []string) {
	available, storeUnavailable := 0, 0
	exchange.arrange()
	for _, vm := range exchange.byReader[exchange.self.DataCentre] {
		switch {
		case available == exchange.settings.Readers, storeUnavailable == 2*exchange.settings.Readers:
			return readerCandidates, down // if the store answers none of so many candidates, it is down for all VMs
		case !exchange.isLive(vm):
			down = append(down, vm)
		default:
			if vm != exchange.self.VM && exchange.peers[vm].blind {
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
// coordinators in its answer.
func (exchange *Exchange) some(down []string) []string {
	counts := make(map[string]int)
	var downSample, others []string
	for _, vm := range down {
		dataCentre := exchange.dataCentre(vm)
		if counts[dataCentre] < exchange.settings.Greet {
			counts[dataCentre]++
			downSample = append(downSample, vm)
		} else {
			others = append(others, vm)
		}
	}
	for range min(exchange.settings.Greet, len(others)) {
		downSample = append(downSample, others[exchange.turn%len(others)])
		exchange.turn++
	}
	return downSample
}

// helloTargets returns the addresses that this VM says hello to when it starts or resumes. A candidate for coordinator or
// reader must be known to all VMs, so it says hello to all of them.
func (exchange *Exchange) greeted() []net.Addr {
	if exchange.prominent() {
		return exchange.everyone()
	}
	return exchange.watched()
}

// isCandidate reports whether this VM is a candidate for coordinator, or for reader in its data centre: it is among the
// first in the ranking concerned.
func (exchange *Exchange) prominent() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	readerRank := slices.Index(exchange.byReader[exchange.self.DataCentre], exchange.self.VM)
	return exchange.amongFirst() || readerRank < exchange.settings.Readers+exchange.settings.Greet
}

// isBootstrapVM reports whether this VM is among the first of the ranking, which are in the registry so that starting
// VMs find the rest of the fleet through them.
func (exchange *Exchange) amongFirst() bool {
	return slices.Index(exchange.ordered(), exchange.self.VM) < exchange.foundBy()
}
