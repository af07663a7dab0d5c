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

// coordinatorOrder names the order of VMs that decide for others.
const coordinatorOrder = "coordinator"

// Judges reports whether this VM is told what all others see of servers: it is one of those that
// decide, as one alone is.
func (exchange *Exchange) Judges() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.decides(exchange.self.VM)
}

// Coordinators returns the VMs that may be asked for servers, the best one first. This
// one may be among them. Those that did not answer are left out until they are heard
// again, and those that started just now go last, since they know of little.
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

// Doubt notes that a VM did not answer.
func (exchange *Exchange) Doubt(vm string) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if known := exchange.peers[vm]; known != nil && !known.doubted {
		known.doubted = true
		exchange.logger.Info("VM does not answer", "peer", vm)
	}
}

// warm reports whether a VM was told for long enough of all that is under way: it has
// run, and has been one of those that decide, for that long.
func (exchange *Exchange) warm(vm string) bool {
	since := exchange.started
	if vm != exchange.self.VM {
		since = exchange.peers[vm].started
	}
	if since.IsZero() {
		return false
	}
	if chosen := exchange.chosenSince[vm]; chosen.After(since) {
		since = chosen
	}
	return exchange.now().Sub(since) >= exchange.settings.Warm
}

// chosen returns the VMs that decide for others, and notes since when each is.
func (exchange *Exchange) chosen() []string {
	chosen, _ := exchange.survey()
	maps.DeleteFunc(exchange.chosenSince, func(vm string, _ time.Time) bool { return !slices.Contains(chosen, vm) })
	for _, vm := range chosen {
		if _, known := exchange.chosenSince[vm]; !known {
			exchange.chosenSince[vm] = exchange.now()
		}
	}
	return chosen
}

// survey returns the VMs that decide for others, and those that would before them if they
// were live. The first live VM of each data centre is taken, data centres in the order of
// their first VMs, so that what cuts one data centre off leaves others; then the second
// ones, where there are too few data centres. Whoever keeps in touch with all of these
// finds the same ones as others do.
func (exchange *Exchange) survey() (chosen, away []string) {
	wanted := exchange.settings.Coordinators
	exchange.arrange()
	groups := slices.Clone(exchange.groups)
	for progress := true; progress; {
		progress = false
		for at, group := range groups {
			if len(chosen) == wanted {
				return chosen, away
			}
			live := slices.IndexFunc(group, exchange.isLive)
			silent := group[:max(0, live)]
			if live < 0 {
				silent = group
			}
			away = append(away, silent...)
			groups[at] = nil
			if live >= 0 {
				chosen = append(chosen, group[live])
				groups[at] = group[live+1:]
				progress = true
			}
		}
	}
	return chosen, away
}

// decides reports whether a VM is one of those that decide.
func (exchange *Exchange) decides(vm string) bool {
	return slices.Contains(exchange.chosen(), vm)
}

// member returns a VM that is known, which may be this one.
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

// arrange brings the order of all VMs up to date: those with the greatest links first,
// which have the most processor time too, and the same at all VMs. It is kept until a VM
// changes, since who decides is asked several times for each request.
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

// rank puts a VM that is new into the order.
func (exchange *Exchange) rank(vm string) {
	dataCentre := exchange.dataCentre(vm)
	exchange.order = with(exchange.order, vm, exchange.compareDeciders)
	exchange.byReader[dataCentre] = with(exchange.byReader[dataCentre], vm, exchange.compareReaders)
	own := func(group []string) bool { return exchange.dataCentre(group[0]) == dataCentre }
	if at := slices.IndexFunc(exchange.groups, own); at >= 0 {
		exchange.groups[at] = with(exchange.groups[at], vm, exchange.compareDeciders)
	} else {
		exchange.groups = append(exchange.groups, []string{vm})
	}
	slices.SortFunc(exchange.groups, func(a, b []string) int { return exchange.compareDeciders(a[0], b[0]) })
}

// with returns VMs in their order with one more.
func with(vms []string, vm string, compare func(a, b string) int) []string {
	at, _ := slices.BinarySearchFunc(vms, vm, compare)
	return slices.Insert(vms, at, vm)
}

// compareDeciders orders VMs by who decides: the greatest capacity first, then by rendezvous.
func (exchange *Exchange) compareDeciders(a, b string) int {
	return cmp.Or(
		cmp.Compare(exchange.capacity(b), exchange.capacity(a)),
		rendezvous.Compare(coordinatorOrder, a, b),
	)
}

// ordered returns all VMs in the order in which they are asked.
func (exchange *Exchange) ordered() []string {
	exchange.arrange()
	return exchange.order
}

// deciders returns the VMs that decide, how many VMs are known, and how many are heard.
func (exchange *Exchange) deciders() (deciders []*wire.Peer, known, heard uint32) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.encodePeers(exchange.chosen()), uint32(exchange.known()), uint32(exchange.members()) //nolint:gosec // VMs
}

func (exchange *Exchange) encodePeers(vms []string) []*wire.Peer {
	peers := make([]*wire.Peer, 0, len(vms))
	for _, vm := range vms {
		member := exchange.member(vm)
		peers = append(peers, &wire.Peer{
			Vm: member.VM, Address: member.Address, DataCentre: member.DataCentre,
			Capacity: uint32(member.Capacity), //nolint:gosec // a link's
		})
	}
	return peers
}

// watched returns the VMs that this one keeps in touch with: those that decide, those that
// read the store in its own data centre, and some before them in the order that are away.
func (exchange *Exchange) watched() []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	watched := make(map[string]bool)
	chosen, away := exchange.survey()
	readers, awayHere := exchange.readers()
	away = exchange.some(append(away, awayHere...))
	for _, vm := range slices.Concat(chosen, readers, away) {
		watched[vm] = true
	}
	delete(watched, exchange.self.VM)
	addresses := make([]net.Addr, 0, len(watched))
	for vm := range watched {
		addresses = append(addresses, exchange.peers[vm].address)
	}
	return addresses
}

// readers returns the first VMs of this data centre that are live and read the store, with
// the live ones before them that cannot, and those before them that are away.
func (exchange *Exchange) readers() (readers, away []string) {
	live, blind := 0, 0
	exchange.arrange()
	for _, vm := range exchange.byReader[exchange.self.DataCentre] {
		switch {
		case live == exchange.settings.Readers, blind == 2*exchange.settings.Readers:
			return readers, away // where all are turned away the store is away for all
		case !exchange.isLive(vm):
			away = append(away, vm)
		default:
			if vm != exchange.self.VM && exchange.peers[vm].blind {
				blind++
			} else {
				live++
			}
			readers = append(readers, vm)
		}
	}
	return readers, away
}

// some returns the first VMs of each data centre that are away, which are back first of all
// when all start together, and as many of the others, which take turns: VMs that are gone
// for good stay in the register, and any one that is back tells who decides.
func (exchange *Exchange) some(away []string) []string {
	counts := make(map[string]int)
	var some, others []string
	for _, vm := range away {
		dataCentre := exchange.dataCentre(vm)
		if counts[dataCentre] < exchange.settings.Greet {
			counts[dataCentre]++
			some = append(some, vm)
		} else {
			others = append(others, vm)
		}
	}
	for range min(exchange.settings.Greet, len(others)) {
		some = append(some, others[exchange.turn%len(others)])
		exchange.turn++
	}
	return some
}

// greeted returns the VMs that are told of this one when it starts. One that others may
// ask, or read the store through, must be known to all.
func (exchange *Exchange) greeted() []net.Addr {
	if exchange.prominent() {
		return exchange.everyone()
	}
	return exchange.watched()
}

// prominent reports whether others may ask this VM: it is among the first in the order,
// or among the first of its data centre.
func (exchange *Exchange) prominent() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	beforeHere := slices.Index(exchange.byReader[exchange.self.DataCentre], exchange.self.VM)
	return exchange.amongFirst() || beforeHere < exchange.settings.Readers+exchange.settings.Greet
}

// amongFirst reports whether this VM is among the first in the order, through which all others are found.
func (exchange *Exchange) amongFirst() bool {
	return slices.Index(exchange.ordered(), exchange.self.VM) < exchange.foundBy()
}
