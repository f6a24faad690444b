package zone

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and the numbers of runs and steps of rapid, unless the
// command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20000", "rapid.steps": "200"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
