//go:build race

package simulation

// raceEnabled makes the scenarios of many machines a fifth as large under the race detector, which
// makes them many times as slow.
const raceEnabled = true
