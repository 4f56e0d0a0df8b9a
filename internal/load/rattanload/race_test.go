//go:build race

package rattanload_test

// defaultScenario is one scenario alone, since the race detector makes a cell
// about ten times as expensive.
const defaultScenario = "fjordknute"
