package fairshare

// Settings configure the division of servers.
type Settings struct {
	// Enabled switches the division on. While it is off, requests are served without regard to
	// their organisation.
	Enabled bool `yaml:"enabled"`
	// Utilisation is how many servers are divided for each one that there is. What requests use is
	// counted in slots or memory, plus the time of prefills; of engines with all slots taken that is
	// some 1.2 servers each. A lower value serves the others sooner, and leaves more slots unused
	// while a long prompt waits for servers.
	Utilisation float64 `yaml:"utilisation" validate:"min=0.1,max=4"`
	// Weights has the weights of organisations by name. Those that are missing have weight one. An
	// organisation of weight two has a share twice as large.
	Weights map[string]float64 `yaml:"weights" validate:"dive,gt=0,lte=1000"`
}

// DefaultSettings returns settings that divide the servers equally.
func DefaultSettings() Settings {
	return Settings{Enabled: true, Utilisation: 1.15}
}

// WeightsByOrganisation returns the weights by the organisations that they are for.
func (settings Settings) WeightsByOrganisation() map[Organisation]float64 {
	weights := make(map[Organisation]float64, len(settings.Weights))
	for name, weight := range settings.Weights {
		weights[Of(name)] = weight
	}
	return weights
}
