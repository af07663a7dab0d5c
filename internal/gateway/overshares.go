package gateway

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// maxReportedOrganisations bounds the organisations that are named in logs, metrics and the status.
const maxReportedOrganisations = 5

// OverShareStatus is an organisation that uses more than its share of the servers of a service.
type OverShareStatus struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Ratio is its use as a multiple of its share, and Share the share of an organisation of weight
	// one, in servers.
	Ratio float64 `json:"times_its_share"`
	Share float64 `json:"share_servers"`
}

// overShares returns the organisations furthest over their shares, as this VM knows while it is the
// coordinator.
func (gateway *Gateway) overShares() []OverShareStatus {
	over := gateway.coordinator.OverShares()
	slices.SortFunc(over, func(a, b dispatch.OverShare) int { return cmp.Compare(b.Ratio, a.Ratio) })
	over = over[:min(len(over), maxReportedOrganisations)]
	list := make([]OverShareStatus, 0, len(over))
	for _, share := range over {
		list = append(list, OverShareStatus{
			Service: share.Service, Organisation: gateway.organisationName(share.Organisation), Ratio: share.Ratio, Share: share.Share,
		})
	}
	return list
}

// organisationName returns the name of an organisation of the active configuration. Callers without
// an organisation have no name, and of one that was removed the number is returned.
func (gateway *Gateway) organisationName(organisation fairshare.Organisation) string {
	if organisation == fairshare.Anonymous {
		return ""
	}
	if current := gateway.operatorState.current.Load(); current != nil {
		for _, known := range current.Organisations() {
			if fairshare.Of(known.Name) == organisation {
				return known.Name
			}
		}
	}
	return strconv.FormatUint(uint64(organisation), 16)
}

// logOverShares logs that organisations are over their shares, and which one is furthest over its own.
func (gateway *Gateway) logOverShares() {
	over := gateway.overShares()
	if len(over) == 0 {
		return
	}
	furthest := over[0]
	gateway.logger.Info("organisations over their shares", "service", furthest.Service, "organisation", furthest.Organisation,
		"times_its_share", furthest.Ratio, "share_servers", furthest.Share)
}

// overSharesCollector exports the organisations furthest over their shares.
type overSharesCollector struct {
	gateway *Gateway
	ratio   *prometheus.Desc
}

var _ prometheus.Collector = (*overSharesCollector)(nil)

func newOverSharesCollector(gateway *Gateway) *overSharesCollector {
	return &overSharesCollector{gateway: gateway, ratio: prometheus.NewDesc(
		"mastwinch_organisation_share_ratio",
		"What an organisation uses as a multiple of its share of the servers, for those furthest over it, at the coordinator.",
		[]string{labelService, labelOrganisation}, nil,
	)}
}

// Describe implements prometheus.Collector.
func (collector *overSharesCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- collector.ratio
}

// Collect implements prometheus.Collector.
func (collector *overSharesCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, share := range collector.gateway.overShares() {
		metrics <- prometheus.MustNewConstMetric(collector.ratio, prometheus.GaugeValue, share.Ratio, share.Service, share.Organisation)
	}
}
