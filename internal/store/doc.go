// Package store is the client of the consensus-backed key-value store. It keeps requests within
// the store's rate limits. Its errors state, for each response or missing response, whether the
// request may have been executed.
//
// Package records has the types of the records and the errors. The names in the store's protocol
// appear only in paths and in the struct tags of the bodies.
package store
