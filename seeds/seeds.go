// Package seeds makes property tests repeat. Test files import it for its
// effect: their verdict is the same in each run. The option -rapid.seed=0
// chooses another seed in each run.
package seeds

import (
	"flag"

	_ "pgregory.net/rapid" // defines the options
)

// seed is any fixed number; tests that fail print it.
const seed = "20261204"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
