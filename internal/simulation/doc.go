// Package simulation provides the environment of controllers in tests: the key-value store, the cloud with its
// machines and workers, and the network between them, with the faults that the protocol allows. It serves the
// interfaces that controllers use, in whatever time a test runs on, and checks the protocol's rules meanwhile.
//
// The same environment is served over HTTP by local clusters and load tests.
package simulation
