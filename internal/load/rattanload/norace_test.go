//go:build !race

package rattanload_test

// defaultScenario is empty, so that both scenarios run.
const defaultScenario = ""
