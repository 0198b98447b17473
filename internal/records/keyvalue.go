package records

import "drumpick/internal/jsoncodec"

// KeyValue is a key with its value, the revision of its last change, and the lease that it is
// attached to (0: none).
type KeyValue struct {
	Key      string               `json:"k"`
	Value    jsoncodec.RawMessage `json:"value"`
	Revision uint64               `json:"stamp"`
	LeaseID  uint64               `json:"hold"`
}

// Compare is a condition of a commit: the last change of a key has the given revision; 0: the key
// is absent.
type Compare struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Op is one operation of a commit: a write of the key Write, or a delete of the key Delete. LeaseID
// attaches a written key to a lease; 0: none.
type Op struct {
	Write   string `json:"write,omitempty"`
	Value   any    `json:"value,omitempty"`
	LeaseID uint64 `json:"hold,omitempty"`
	Delete  string `json:"delete,omitempty"`
}

// Event is one change that a watch reports: a write of the key Write, or a delete of the key
// Delete; the other one is "".
type Event struct {
	Write    string               `json:"write"`
	Delete   string               `json:"delete"`
	Value    jsoncodec.RawMessage `json:"value"`
	Revision uint64               `json:"stamp"`
}
