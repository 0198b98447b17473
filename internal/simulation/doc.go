// Package simulation simulates the environment of controllers: the key-value store, the cloud with its machines
// and workers, and the network between them, including the faults that the protocol allows. It implements the
// interfaces that controllers use, runs on the test's clock, and checks the protocol's rules while it runs.
//
// Local clusters and load tests serve the same environment over HTTP.
package simulation
