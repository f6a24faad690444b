package main

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

const minimalExperiment = `question: "?"
daemons: ["127.0.0.1:1"]
streams: [{kind: rollout, workspace: audit, rate: 1, prompts: 4, prompt_words: 8}]
`

func TestParseExperiment_RejectsNegativeCounts(t *testing.T) {
	for _, count := range []string{"prompts", "prompt_words", "max_tokens"} {
		source := "question: q\ndaemons: [a]\nstreams: [{kind: draft, workspace: audit, rate: 1, " + count + ": -1}]\n"
		_, err := parseExperiment([]byte(source))
		must.Eq(t, result.SettingsInvalid, result.CodeOf(err))
	}
}

func FuzzParseExperiment(f *testing.F) {
	f.Add([]byte(minimalExperiment))
	demo, err := os.ReadFile(filepath.Join("..", "..", "experiments", "demo.yaml"))
	must.NoError(f, err)
	f.Add(demo)
	f.Fuzz(func(t *testing.T, source []byte) {
		experiment, err := parseExperiment(source)
		if err != nil {
			return
		}
		must.Positive(t, experiment.Duration)
		must.Positive(t, experiment.MaxInFlight)
		must.NonNegative(t, experiment.FaultAt)
		must.SliceNotEmpty(t, experiment.Daemons)
		must.SliceNotEmpty(t, experiment.Streams)
		for _, stream := range experiment.Streams {
			must.True(t, stream.Rate > 0 && !math.IsInf(stream.Rate, 0))
			must.NonNegative(t, min(stream.Prompts, stream.PromptWords, stream.MaxTokens))
		}
		for _, fault := range experiment.Faults {
			must.NonNegative(t, fault.At)
		}
	})
}
