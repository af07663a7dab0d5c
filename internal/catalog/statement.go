package catalog

// Statement is what the operator has put under one key: a configuration, or the wish that a data centre's servers get
// nothing new. Exactly one field is set.
type Statement struct {
	Configuration *Catalog
	// Evacuated is the data centre whose servers get nothing new for as long as the statement stands.
	Evacuated string
}

// Newer reports whether a statement is of a later moment than another one of its key. Only configurations tell.
func (statement Statement) Newer(other Statement) bool {
	if statement.Configuration == nil || other.Configuration == nil {
		return false
	}
	return statement.Configuration.Version() > other.Configuration.Version()
}
