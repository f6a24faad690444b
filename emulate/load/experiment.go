// Package load is an open-loop load generator for experiments: requests arrive
// at a set rate whether or not earlier ones have been answered. It checks every
// response, and reports correctness from the records of the emulators.
package load

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Kind is the kind of request that a stream sends.
type Kind string

// Kinds of streams.
const (
	// KindLookup looks up records on a plain service.
	KindLookup Kind = "lookup"
	// KindSubmission sends submissions, each with a new idempotency key, and
	// retries with the same key while the outcome is unknown.
	KindSubmission Kind = "submission"
	// KindRollout requests groups of samples.
	KindRollout Kind = "rollout"
	// KindDraft requests single responses of a model.
	KindDraft Kind = "draft"
	// KindSettings changes a parameter of the workspace.
	KindSettings Kind = "settings"
)

// Experiment configures a run of the load generator.
type Experiment struct {
	// Question is the question that the experiment answers.
	Question string            `yaml:"question" json:"question" validate:"required"`
	Seed     uint64            `yaml:"seed" json:"seed"`
	Duration settings.Duration `yaml:"duration" json:"duration" validate:"min=1000000,max=3600000000000"`
	// Daemons are the HTTP addresses behind the load balancer.
	Daemons []string `yaml:"daemons" json:"daemons" validate:"min=1"`
	// Store, Services and Trainers are the addresses of the emulators whose
	// records are read at the end.
	Store    string   `yaml:"store" json:"store"`
	Services []string `yaml:"services" json:"services"`
	Trainers []string `yaml:"trainers" json:"trainers"`
	Streams  []Stream `yaml:"streams" json:"streams" validate:"min=1,dive"`
	Faults   []Fault  `yaml:"faults" json:"faults,omitempty" validate:"dive"`
	// FaultAt is the time from the start to the beginning of a failure; zero
	// means none. Every stream must have answers to requests that arrive later.
	FaultAt settings.Duration `yaml:"fault_at" json:"fault_at,omitempty" validate:"min=0"`
	// MaxInFlight bounds the concurrent requests; arrivals over it count as
	// failed and are not sent.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight" validate:"min=1,max=100000"`
}

// Stream configures a stream of requests of one kind.
type Stream struct {
	Kind      Kind                  `yaml:"kind" json:"kind" validate:"oneof=lookup submission rollout draft settings"`
	Class     structs.Class         `yaml:"class" json:"class"`
	Workspace structs.WorkspaceName `yaml:"workspace" json:"workspace" validate:"required"`
	// Rate is the mean number of arrivals per second of a Poisson process.
	Rate float64 `yaml:"rate" json:"rate" validate:"gt=0,max=100000"`
	// Prompts is the number of distinct prompt prefixes, and PromptWords their
	// length in words.
	Prompts     int `yaml:"prompts" json:"prompts,omitempty" validate:"min=0,max=1000000"`
	PromptWords int `yaml:"prompt_words" json:"prompt_words,omitempty" validate:"min=0,max=100000"`
	// MaxTokens bounds the length of a model's response.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens,omitempty" validate:"min=0,max=131072"`
}

// Fault is a request body that is posted to an emulator to inject a fault. At is
// the time from the start.
type Fault struct {
	At   settings.Duration `yaml:"at" json:"at" validate:"min=0"`
	URL  string            `yaml:"url" json:"url" validate:"required"`
	Body string            `yaml:"body" json:"body"`
}

// Defaults of experiments and streams.
const (
	defaultDuration    = 15 * time.Second
	defaultMaxInFlight = 2000
	defaultPrompts     = 16
	defaultPromptWords = 64
	defaultMaxTokens   = 48
)

// Default returns an experiment with the defaults of optional settings.
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
