package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastwinch/mastwinch/internal/call"
)

// settingsState is what was found when the settings file was last read. It is immutable.
type settingsState struct {
	// ignored are the fields that can't be used.
	ignored []call.FieldError
	// rejected is why a process can't start with the file, or nil.
	rejected error
}

// problems returns the problems of the settings file as text.
func (state *settingsState) problems() []string {
	var problems []string
	if state.rejected != nil {
		problems = append(problems, state.rejected.Error())
	}
	for _, field := range state.ignored {
		problems = append(problems, field.Error())
	}
	return problems
}

// registerSettings registers the gauges of what is wrong with the settings file.
func registerSettings(registry *prometheus.Registry, gateway *Gateway) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_settings_ignored", Help: "Fields of the settings file that can't be used.",
		}, func() float64 { return float64(len(gateway.settingsState.Load().ignored)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mastwinch_settings_rejected", Help: "1 while no process can start with the settings file as it is.",
		}, func() float64 {
			if gateway.settingsState.Load().rejected != nil {
				return 1
			}
			return 0
		}),
	)
}
