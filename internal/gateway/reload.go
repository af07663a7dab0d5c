package gateway

import "reflect"

// Bounds returns the bounds in force.
func (gateway *Gateway) Bounds() Bounds {
	return *gateway.bounds.Load()
}

// Reload applies the settings file as it is now. Bounds take effect at once; all other changes need
// a restart, and whether there are any is logged.
func (gateway *Gateway) Reload(site Site) {
	bounds := site.Bounds
	gateway.bounds.Store(&bounds)
	gateway.settingsState.Store(&settingsState{ignored: site.Ignored})
	gateway.updateRetryLimits()
	gateway.logIgnored(site)
	site.Bounds, site.Ignored = gateway.site.Bounds, gateway.site.Ignored
	gateway.logger.Info("settings read again", "bounds", bounds, "needs_restart", !reflect.DeepEqual(site, gateway.site))
}

// RejectSettings records that the settings file as it is now can't be used, so that no process would start with it. The
// previous settings stay in force.
func (gateway *Gateway) RejectSettings(err error) {
	gateway.settingsState.Store(&settingsState{ignored: gateway.settingsState.Load().ignored, rejected: err})
	gateway.logger.Error("reloading the settings failed; keeping the previous ones, but no process can start with this file", "error", err)
}

// logIgnored logs the fields of the settings file that can't be used.
func (gateway *Gateway) logIgnored(site Site) {
	for _, field := range site.Ignored {
		gateway.logger.Error("ignoring a field of the settings that can't be used", "field", field.Field, "problem", field.Problem,
			"bounds", site.Bounds)
	}
}
