//go:build !race

package cmds

// detectsRaces is set under the race detector, which multiplies the memory of a process.
const detectsRaces = false
