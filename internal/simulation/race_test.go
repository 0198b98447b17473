//go:build race

package simulation

// raceEnabled reports whether the race detector is on. It slows the scenarios with many machines down many times, so
// they run at a fifth of their size.
const raceEnabled = true
