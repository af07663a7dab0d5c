package gateway

import (
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
)

var _ follower.Listener[directory.Entry] = serverList{}

// serverList passes the changes of the server list to the pool. A server that is listed with a newer start has ended.
type serverList struct {
	*pool.Pool

	gateway *Gateway
}

// Replace implements follower.Listener.
func (serverlist serverList) Replace(values []follower.Change[directory.Entry]) {
	serverlist.Pool.Replace(values)
	serverlist.recordRestarted()
}

// Apply implements follower.Listener.
func (serverlist serverList) Apply(changes []follower.Change[directory.Entry]) {
	serverlist.Pool.Apply(changes)
	serverlist.recordRestarted()
}

func (serverlist serverList) recordRestarted() {
	for _, server := range serverlist.TakeRestarted() {
		serverlist.gateway.recordServerEnd(server, "is listed with a newer start")
	}
}
