// Package load makes traffic for experiments: arrivals at a set rate whether
// or not earlier ones were answered, checks of every answer, and a report in
// which what counts comes from the stand-ins' own records.
package load

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Kind says what a stream of arrivals does.
type Kind string

// The kinds of streams.
const (
	// KindLookup looks records up on a plain service.
	KindLookup Kind = "lookup"
	// KindSubmission submits with a key of its own, and again with the same
	// key while the outcome is unknown.
	KindSubmission Kind = "submission"
	// KindRollout asks for groups of samples.
	KindRollout Kind = "rollout"
	// KindDraft asks for single answers of a model.
	KindDraft Kind = "draft"
	// KindSettings changes a parameter of the workspace.
	KindSettings Kind = "settings"
)

// Experiment describes a run.
type Experiment struct {
	// Question is what the run is to answer.
	Question string            `yaml:"question" json:"question" validate:"required"`
	Seed     uint64            `yaml:"seed" json:"seed"`
	Duration settings.Duration `yaml:"duration" json:"duration" validate:"min=1000000,max=3600000000000"`
	// Daemons are the HTTP addresses behind the balancer.
	Daemons []string `yaml:"daemons" json:"daemons" validate:"min=1"`
	// Store, Services and Trainers are the addresses of stand-ins whose
	// records are read at the end.
	Store    string   `yaml:"store" json:"store"`
	Services []string `yaml:"services" json:"services"`
	Trainers []string `yaml:"trainers" json:"trainers"`
	Streams  []Stream `yaml:"streams" json:"streams" validate:"min=1,dive"`
	Faults   []Fault  `yaml:"faults" json:"faults,omitempty" validate:"dive"`
	// FaultAt is when a failure begins, after the start; zero means that
	// there is none. Every stream must have answers to later arrivals.
	FaultAt settings.Duration `yaml:"fault_at" json:"fault_at,omitempty" validate:"min=0"`
	// MaxInFlight bounds the requests that wait at once; arrivals over it
	// count as failed.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight" validate:"min=1,max=100000"`
}

// Stream is a stream of arrivals.
type Stream struct {
	Kind      Kind                  `yaml:"kind" json:"kind" validate:"oneof=lookup submission rollout draft settings"`
	Class     structs.Class         `yaml:"class" json:"class"`
	Workspace structs.WorkspaceName `yaml:"workspace" json:"workspace" validate:"required"`
	// Rate is the mean of arrivals a second; they are a Poisson process.
	Rate float64 `yaml:"rate" json:"rate" validate:"gt=0,max=100000"`
	// Prompts is the count of different prompt prefixes, and PromptWords
	// their length.
	Prompts     int `yaml:"prompts" json:"prompts,omitempty" validate:"min=0,max=1000000"`
	PromptWords int `yaml:"prompt_words" json:"prompt_words,omitempty" validate:"min=0,max=100000"`
	// MaxTokens bounds the answers of a model.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens,omitempty" validate:"min=0,max=131072"`
}

// Fault is a message posted to a stand-in at a time after the start.
type Fault struct {
	At   settings.Duration `yaml:"at" json:"at" validate:"min=0"`
	URL  string            `yaml:"url" json:"url" validate:"required"`
	Body string            `yaml:"body" json:"body"`
}

// The values that an experiment need not give.
const (
	defaultDuration    = 15 * time.Second
	defaultMaxInFlight = 2000
	defaultPrompts     = 16
	defaultPromptWords = 64
	defaultMaxTokens   = 48
)

// Default returns an experiment with the values that a file need not give.
func Default() Experiment {
	return Experiment{
		Seed:        1,
		Duration:    settings.Duration(defaultDuration),
		MaxInFlight: defaultMaxInFlight,
	}
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
