// Package structs holds the types that the coordination parts and the daemon
// share: names of things, classes of requests and backend servers.
package structs

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownClass is returned when a text names no class of requests.
var ErrUnknownClass = errors.New("structs: unknown class of requests")

// HostName names a host of the system or of a backend server.
type HostName string

// ZoneName names an availability zone, for example "ashanti-a".
type ZoneName string

// RegionName names a region, for example "ashanti".
type RegionName string

// WorkspaceName names a workspace.
type WorkspaceName string

// ServiceName names what a backend server runs, for example a plain service
// or a model.
type ServiceName string

// WeightVersion numbers the weights of a model; higher is newer.
type WeightVersion uint64

// Term is a fencing number: each new holder of a role has a higher one.
type Term uint64

// Incarnation names one run of a daemon: a host and its start number.
type Incarnation struct {
	Host  HostName `json:"host"`
	Start uint64   `json:"start"`
}

// Place says where a host stands.
type Place struct {
	Zone   ZoneName   `json:"zone" yaml:"zone" validate:"required"`
	Region RegionName `json:"region" yaml:"region" validate:"required"`
}

// BackendKind says how the system talks to a backend server.
type BackendKind string

// The kinds of backend servers.
const (
	// KindEngine is a model engine.
	KindEngine BackendKind = "engine"
	// KindService is a plain service, such as a claims portal.
	KindService BackendKind = "service"
	// KindJudge is a service that judges samples.
	KindJudge BackendKind = "judge"
	// KindDaemon is an entry host of the system itself.
	KindDaemon BackendKind = "daemon"
)

// BackendServer is one entry of the platform's host list.
type BackendServer struct {
	Name    HostName    `json:"name" yaml:"name"`
	Place   Place       `json:"place" yaml:"place"`
	Kind    BackendKind `json:"kind" yaml:"kind"`
	Service ServiceName `json:"service" yaml:"service"`
	// Address is an IP number and port.
	Address string `json:"address" yaml:"address"`
	// Draining is set once the host is to be taken away.
	Draining bool `json:"leaving" yaml:"leaving"`
	// EnforcesFencing says that the server refuses an order with an old term.
	EnforcesFencing bool `json:"fenced" yaml:"fenced"`
}

// Class orders requests: a lower class is served first.
type Class uint8

// The classes of requests, those served first in front.
const (
	// ClassLookup is a look-up by an officer or a franchise owner.
	ClassLookup Class = iota
	// ClassSubmission is a claim or response that must run at most once.
	ClassSubmission
	// ClassDossier is a look-up by a dossier service.
	ClassDossier
	// ClassDraft is a summary needed while a consultation is open.
	ClassDraft
	// ClassRollout makes samples for a trainer.
	ClassRollout
	// ClassInternal is an internal check.
	ClassInternal

	// ClassCount is the number of classes.
	ClassCount = int(ClassInternal) + 1
)

var classNames = [ClassCount]string{"lookup", "submission", "dossier", "draft", "rollout", "internal"}

// String returns the name of the class.
func (c Class) String() string {
	if int(c) >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText writes the name of the class.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads the name of a class and fails with ErrUnknownClass.
func (c *Class) UnmarshalText(text []byte) error {
	index := slices.Index(classNames[:], string(text))
	if index < 0 {
		return errors.Wrapf(ErrUnknownClass, "%q", text)
	}
	*c = Class(index)
	return nil
}

// VersionSpan says that a weight version made a run of a sample's tokens.
type VersionSpan struct {
	Version WeightVersion `json:"version"`
	// Tokens is the count of tokens made by the version.
	Tokens int `json:"tokens"`
}

// SampleID names a sample: the daemon that took it in and a number of its own.
type SampleID struct {
	Origin Incarnation `json:"origin"`
	Number uint64      `json:"number"`
}

// Sample is one finished answer of a model to a prompt.
type Sample struct {
	ID        SampleID      `json:"id"`
	Workspace WorkspaceName `json:"workspace"`
	Group     string        `json:"group"`
	// Spans are the versions that made the tokens, in order, as the engine
	// itself reported them.
	Spans []VersionSpan `json:"spans"`
	// Born is the wall-clock time at which the oldest token was made.
	Born time.Time `json:"born"`
	// Reward is the judge's score, from 0 to 1.
	Reward float64 `json:"reward"`
	Body   []byte  `json:"body,omitempty"`
}

// OldestVersion returns the lowest version among the spans, or zero when
// there are none.
func (s *Sample) OldestVersion() WeightVersion {
	if len(s.Spans) == 0 {
		return 0
	}
	oldest := s.Spans[0].Version
	for _, span := range s.Spans[1:] {
		oldest = min(oldest, span.Version)
	}
	return oldest
}
