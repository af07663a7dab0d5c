package fold

import "maps"

// Remove returns values without the one of a key, if it is there and of the expected version. They are never changed once
// they are shared.
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
	left := maps.Clone(values)
	delete(left, key)
	return left, Accept(version)
}
