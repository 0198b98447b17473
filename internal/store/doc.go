// Package store is the client of the consensus-backed key-value store. It keeps requests within
// the store's rate limits and reports, for each response or missing response, whether the request
// was executed.
//
// Package records has the records and the errors. The store's protocol names appear only in paths
// and in the struct tags of the bodies.
package store
