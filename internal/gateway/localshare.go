package gateway

import (
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// overLocalShare reports whether the request's organisation uses more than its share of the servers
// through this VM alone, while others use them too. It is for a VM without a coordinator, which
// knows only of its own requests and divides only the share of the servers that it may use.
func (forwarder *forwarder) overLocalShare(request placement.Request) bool {
	settings := forwarder.gateway.settings.Shares
	if !settings.Enabled || forwarder.deliveries > 0 {
		return false
	}
	usage := forwarder.gateway.pool.Usage(forwarder.service)
	division := fairshare.Divide(settings.Utilisation*usage.Capacity(), usage.Used, settings.WeightsByOrganisation())
	length := fairshare.LengthOf(request.Engine == nil || request.Packable())
	return division.Excess(request.Organisation, length) > 0 && len(division.Over()) < len(usage.Used)
}
