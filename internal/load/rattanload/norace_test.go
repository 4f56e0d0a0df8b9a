//go:build !race

package rattanload_test

// defaultScenario is empty: both scenarios run.
const defaultScenario = ""
