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

// discardPublisher drops all reports and may use the whole limits.
type discardPublisher struct{}

func (discardPublisher) Publish(pool.Report) {}

func (discardPublisher) Share() float64 { return 1 }

// BenchmarkEligible measures the selection among engines with eight requests each, without limits
// and with a tenth of the engines limited.
func BenchmarkEligible(b *testing.B) {
	for _, count := range []int{18, 60, 150, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkEligible(b, count, 0) })
	}
	for _, count := range []int{60, 600} {
		b.Run(fmt.Sprintf("%d, a tenth limited", count), func(b *testing.B) { benchmarkEligible(b, count, count/10) })
	}
}

func benchmarkEligible(b *testing.B, count, limited int) {
	b.Helper()
	servers := pool.New(pool.DefaultSettings(), "vm-1", discardPublisher{}, slog.New(slog.DiscardHandler), time.Now)
	entries := make([]follower.Change[directory.Entry], 0, count)
	reports := make([]pool.Report, 0, 8*count)
	for i := range count {
		id := fmt.Sprintf("engine-%d", i)
		entries = append(entries, follower.Change[directory.Entry]{Key: id, Value: &directory.Entry{
			ID: id, Service: "engines", Address: id, Slots: 10,
		}})
		for range 8 {
			reports = append(reports, pool.Report{
				ID: uint64(len(reports)), Server: id, Phase: pool.PhaseDecode, Memory: 5000, InterTokenObjective: time.Second, Pace: 1.1,
			})
		}
	}
	servers.Replace(entries)
	for i := range limited {
		servers.RecordRateLimit(fmt.Sprintf("engine-%d", i), 1000)
	}
	service := &catalog.Service{Name: "engines", Engine: &catalog.Engine{MemoryTokens: 232_000}}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		servers.HandleReports("vm-2", reports) // keeps them from expiring
		b.StartTimer()
		servers.Eligible(service, nil)
	}
}

// slowSharePublisher spends as long on the share as a publisher among 300 VMs.
type slowSharePublisher struct{ discardPublisher }

func (slowSharePublisher) Share() float64 {
	lastReports := make(map[int]time.Time)
	for vm := range 300 {
		lastReports[vm] = time.Now()
	}
	return float64(len(lastReports)) / 300
}

// BenchmarkAcceptedRate measures the rate of servers without limits, which is computed for each
// queued request.
func BenchmarkAcceptedRate(b *testing.B) {
	servers := pool.New(pool.DefaultSettings(), "vm-1", slowSharePublisher{}, slog.New(slog.DiscardHandler), time.Now)
	servers.Replace(listedServers(600))
	b.ReportAllocs()
	for b.Loop() {
		servers.AcceptedRate("engines", nil, "vm-1")
	}
}

// BenchmarkOwnLimitReports measures the reports without any limits, which each VM collects twice a
// second.
func BenchmarkOwnLimitReports(b *testing.B) {
	servers := pool.New(pool.DefaultSettings(), "vm-1", discardPublisher{}, slog.New(slog.DiscardHandler), time.Now)
	servers.Replace(listedServers(3000))
	b.ReportAllocs()
	for b.Loop() {
		servers.OwnLimitReports(false)
	}
}

// BenchmarkHasAddress measures the check of an address that another VM names, among the servers of a large fleet.
func BenchmarkHasAddress(b *testing.B) {
	const count = 600
	servers := pool.New(pool.DefaultSettings(), "vm-1", discardPublisher{}, slog.New(slog.DiscardHandler), time.Now)
	var entries []follower.Change[directory.Entry]
	for i := range count {
		id := fmt.Sprintf("engine-%d", i)
		entries = append(entries, follower.Change[directory.Entry]{Key: id, Value: &directory.Entry{
			ID: id, Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8621", i/250, i%250), Slots: 10,
		}})
	}
	servers.Replace(entries)
	for b.Loop() {
		servers.HasAddress("10.9.9.9:8621")
	}
}
