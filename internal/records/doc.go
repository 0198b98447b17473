// Package records defines the records that drumpick keeps in the consensus-backed key-value
// store: their keys, their values and the errors of the store. Package store sends the
// requests.
//
// The names of the stored form appear only in struct tags, key constants and the constants of
// shapes, statuses and priorities. Controllers of several versions read the same records, so
// none of these names may change.
package records
