package change

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, number of checks and steps, unless they are set on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	isSet := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "60"} {
		if !isSet[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
