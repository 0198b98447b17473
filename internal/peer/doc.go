// Package peer is the msgpack protocol between controllers, on their peer addresses: the status of a
// controller, the progress and cancellation of jobs, and requests and heartbeats that one controller
// relays to another.
//
// Controllers of different versions call each other. The paths, the struct tags and the values of the
// Method constants are names in this protocol; none of them may change.
package peer
