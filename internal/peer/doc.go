// Package peer is the msgpack protocol between controllers, on their peer address: the status
// of the store connection, the progress of jobs, and requests and heartbeats that one controller
// relays to another.
//
// Controllers of different versions call each other. The protocol names are the paths, the struct
// tags and the method names; none of them may change.
package peer
