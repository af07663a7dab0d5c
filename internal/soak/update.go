package soak

import (
	"context"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Times of the restarts of VMs of the older build.
const (
	// updateDelay is the time from the start of the cut in which none is restarted. In most of it the VM that is cut off must serve.
	updateDelay    = 2 * boundContact
	updateInterval = 1500 * time.Millisecond
	// updateCutDuration is how long the VM is cut off.
	updateCutDuration = 12 * time.Second
)

// startsOlder reports whether the VM with a number starts with the older build. Every second one does, so that one of the newer build
// is always there beside the one that is cut off.
func (environment *environment) startsOlder(number int) bool {
	return extraKind(environment.settings.Seed) == KindVMUpdate && number%2 == 1
}

// olderProgram returns the program and the tuning of VMs of the older build. Without a program of its own it is the newer one that does
// not tell other VMs how connections of servers end.
func (settings Settings) olderProgram() (program, tuning string) {
	if settings.Older != "" {
		return settings.Older, ""
	}
	return settings.Program, "tunnel:\n  frames: false\n"
}

// update cuts a VM off from all servers, whose answers state no length, and restarts the VMs of the older build one after the other
// with the newer one. It returns when all have restarted.
func (environment *environment) update(ctx context.Context, event Event) {
	environment.setAllFaults(platformserver.Faults{Unframed: 1})
	var running sync.WaitGroup
	running.Go(func() {
		environment.cutFromServers(ctx, Event{Kind: KindVMCutReset, For: event.For}, environment.ip(1, event.Target))
	})
	wait.For(ctx, updateDelay)
	for number, vm := range environment.vms {
		if !environment.startsOlder(number) || !wait.For(ctx, updateInterval) {
			continue
		}
		if _, err := environment.tuningArgs(vm.name, environment.ip(1, number), ""); err != nil {
			vm.process.log(err)
		}
		vm.process.update(environment.settings.Program)
		running.Go(func() {
			environment.injectFault(ctx, Event{Kind: KindVMStop, Target: number})
			wait.For(ctx, boundGrace+restartSlack)
		})
	}
	running.Wait()
	environment.setAllFaults(platformserver.Faults{})
}
