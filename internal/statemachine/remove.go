package statemachine

import "maps"

// Remove returns a copy of values without key, if its value has the expected version. Otherwise it returns values
// unchanged and the verdict that refuses the removal. It never modifies values, which may be shared.
func Remove[Value any](
	values map[string]Value, key string, versionOf func(Value) Version, expected uint64, version Version,
) (map[string]Value, Verdict) {
	current, exists := values[key]
	if !exists {
		return values, Refuse(ReasonNotFound)
	}
	if uint64(versionOf(current)) != expected {
		return values, Refuse(ReasonConflict)
	}
	remaining := maps.Clone(values)
	delete(remaining, key)
	return remaining, Accept(version)
}
