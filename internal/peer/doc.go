// Package peer is what controllers ask each other on their back address, in msgpack: how the
// store serves them, how jobs progress, and requests and heartbeats that one relays to
// another.
//
// Controllers of several versions ask each other. The words of the messages stand in struct
// tags, paths and the names of the methods alone, and none of them may change.
package peer
