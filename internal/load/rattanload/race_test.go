//go:build race

package rattanload_test

// defaultScenario limits the test to one scenario, since the race detector makes a
// cell about ten times as expensive.
const defaultScenario = "fjordknute"
