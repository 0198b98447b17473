// Package records holds the records that drumpick keeps in the consensus-backed key-value
// store: their keys, their values, and what the store's answers mean. Package store sends
// the requests.
//
// The words of the stored form stand in struct tags, key constants and the constants of
// shapes, states and priorities alone. Controllers of several versions read the same
// records, so none of these may change.
package records
