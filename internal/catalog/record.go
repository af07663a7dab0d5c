package catalog

// Record is what the operator stored under one key: a configuration, or the evacuation of a data
// centre. Exactly one field is set.
type Record struct {
	Configuration *Catalog
	// Evacuated is the data centre whose servers get no new requests while the record exists.
	Evacuated string
}

// Newer reports whether a record is newer than another one of the same key. Only configurations
// are ordered, by their versions.
func (record Record) Newer(other Record) bool {
	if record.Configuration == nil || other.Configuration == nil {
		return false
	}
	return record.Configuration.Version() > other.Configuration.Version()
}
