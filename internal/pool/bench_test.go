package pool_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
)

type unheard struct{}

func (unheard) Publish(pool.Report) {}

func (unheard) Share() float64 { return 1 }

// BenchmarkOpen views engines with eight requests each, and those of which a tenth named a limit.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []int{18, 60, 150, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkOpen(b, count, 0) })
	}
	for _, count := range []int{60, 600} {
		b.Run(fmt.Sprintf("%d, a tenth limited", count), func(b *testing.B) { benchmarkOpen(b, count, count/10) })
	}
}

func benchmarkOpen(b *testing.B, count, limited int) {
	b.Helper()
	servers := pool.New(pool.DefaultSettings(), "vm-1", unheard{}, slog.New(slog.DiscardHandler), time.Now)
	entries := make([]follower.Change[directory.Entry], 0, count)
	reports := make([]pool.Report, 0, 8*count)
	for i := range count {
		id := fmt.Sprintf("engine-%d", i)
		entries = append(entries, follower.Change[directory.Entry]{Key: id, Value: &directory.Entry{
			ID: id, Service: "engines", Address: id, Slots: 10,
		}})
		for range 8 {
			reports = append(reports, pool.Report{
				ID: uint64(len(reports)), Server: id, Phase: pool.PhaseWriting, Memory: 5000, Gap: time.Second, Pace: 1.1,
			})
		}
	}
	servers.Replace(entries)
	for i := range limited {
		servers.Limits(fmt.Sprintf("engine-%d", i), 1000)
	}
	service := &catalog.Service{Name: "engines", Engine: &catalog.Engine{MemoryTokens: 232_000}}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		servers.Told("vm-2", reports) // so that they are not forgotten
		b.StartTimer()
		servers.Open(service, nil)
	}
}

// busyFleet takes as long to tell the share as it does among many VMs.
type busyFleet struct{ unheard }

func (busyFleet) Share() float64 {
	heard := make(map[int]time.Time)
	for vm := range 300 {
		heard[vm] = time.Now()
	}
	return float64(len(heard)) / 300
}

// BenchmarkTakesPerSecond asks what servers take of which none is limited, as it is asked for each request that waits.
func BenchmarkTakesPerSecond(b *testing.B) {
	servers := pool.New(pool.DefaultSettings(), "vm-1", busyFleet{}, slog.New(slog.DiscardHandler), time.Now)
	servers.Replace(listedUpTo(600))
	b.ReportAllocs()
	for b.Loop() {
		servers.TakesPerSecond("engines", nil, "vm-1")
	}
}

// BenchmarkOwnLimits tells of limits where there are none, as each VM does twice a second.
func BenchmarkOwnLimits(b *testing.B) {
	servers := pool.New(pool.DefaultSettings(), "vm-1", unheard{}, slog.New(slog.DiscardHandler), time.Now)
	servers.Replace(listedUpTo(3000))
	b.ReportAllocs()
	for b.Loop() {
		servers.OwnLimits(false)
	}
}
