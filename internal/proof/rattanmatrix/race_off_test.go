//go:build !race

package rattanmatrix

// raceEnabled is true under the race detector, which makes a cell take several times
// as long.
const raceEnabled = false
