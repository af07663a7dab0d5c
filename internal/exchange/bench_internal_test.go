package exchange

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/mastwinch/mastwinch/internal/epoch"
)

// BenchmarkCoordinators measures the selection of coordinators among live VMs of five data centres. Without cached
// rankings it takes about 30 times as long with 295 VMs.
func BenchmarkCoordinators(b *testing.B) {
	for _, count := range []int{30, 90, 295} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			self := Member{VM: "vm-0", Address: "10.0.0.1:7340", DataCentre: "dc-0", Capacity: 20}
			exchange := New(DefaultSettings(), self, nil, nil, nil, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
			for number := 1; number < count; number++ {
				vm := fmt.Sprintf("vm-%d", number)
				exchange.addPeer(Member{
					VM: vm, Address: "10.0.0.2:7340", DataCentre: fmt.Sprintf("dc-%d", number%5), Capacity: 20 + 180*(number%20/19),
				})
				exchange.peers[vm].lastSeen = time.Now().Add(time.Hour)
			}
			b.ReportAllocs()
			for b.Loop() {
				exchange.Coordinators()
			}
		})
	}
}

// BenchmarkAnnouncedCoordinators measures the summary that a coordinator includes in its response to each ping.
func BenchmarkAnnouncedCoordinators(b *testing.B) {
	self := Member{VM: "vm-0", Address: "10.0.0.1:7340", DataCentre: "dc-0", Capacity: 20}
	exchange := New(DefaultSettings(), self, nil, nil, nil, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
	for number := 1; number < 295; number++ {
		vm := fmt.Sprintf("vm-%d", number)
		exchange.addPeer(Member{VM: vm, Address: "10.0.0.2:7340", DataCentre: fmt.Sprintf("dc-%d", number%5), Capacity: 20})
		exchange.peers[vm].lastSeen = time.Now().Add(time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		exchange.announcedCoordinators()
	}
}
