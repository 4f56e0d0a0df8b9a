//go:build !race

package rattanmatrix

// raceEnabled is true under the race detector, where a cell takes several times
// as long.
const raceEnabled = false
