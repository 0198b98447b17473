// Package store is the client of the consensus-backed key-value store: it keeps requests
// within the store's rates, and says what each answer, or none, lets a caller conclude.
//
// Package records has the records and the errors. The words of the store's protocol stand in
// paths and in the struct tags of the bodies alone.
package store
