// Package settings holds the operators' document: zones, templates and
// workspaces. A change edits parameters of templates and workspaces; a
// workspace has its template's parameters except where it sets its own.
package settings

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Revision numbers the accepted states of the document.
type Revision uint64

// Duration is a time span written as text, for example "500ms".
type Duration time.Duration

// MarshalText writes the span as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	*d = Duration(span)
	return err
}

// Document is the operators' configuration of the whole service.
type Document struct {
	Zones      []structs.Place `json:"zones" yaml:"zones" validate:"min=1,unique=Zone,dive"`
	Templates  []Template      `json:"templates" yaml:"templates" validate:"min=1,unique=Name,dive"`
	Workspaces []Workspace     `json:"workspaces" yaml:"workspaces" validate:"min=1,unique=Name,dive"`
}

// Template names a set of parameters from which workspaces are made.
type Template struct {
	Name       string     `json:"name" yaml:"name" validate:"required"`
	Parameters Parameters `json:"parameters" yaml:"parameters"`
}

// Workspace is one use of a template with parameters of its own.
type Workspace struct {
	Name       structs.WorkspaceName `json:"name" yaml:"name" validate:"required"`
	Template   string                `json:"template" yaml:"template" validate:"required"`
	Parameters Parameters            `json:"parameters" yaml:"parameters"`
}

// Parameters are the values that a template or workspace may set. A nil field
// is not set.
type Parameters struct {
	// Service is the plain service that look-ups and submissions go to.
	Service *structs.ServiceName `json:"service,omitempty" yaml:"service,omitempty"`
	// Model is the service name of the engines.
	Model *structs.ServiceName `json:"model,omitempty" yaml:"model,omitempty"`
	// Judge is the service that scores samples.
	Judge *structs.ServiceName `json:"judge,omitempty" yaml:"judge,omitempty"`
	// LookupDue, SubmissionDue, DossierDue, DraftDue and RolloutDue are the
	// times within which a request of the class is to be answered.
	LookupDue     *Duration `json:"lookup_due,omitempty" yaml:"lookup_due,omitempty" validate:"omitempty,min=1000000,max=3600000000000"`
	SubmissionDue *Duration `json:"submission_due,omitempty" yaml:"submission_due,omitempty" validate:"omitempty,min=1000000,max=3600000000000"`
	DossierDue    *Duration `json:"dossier_due,omitempty" yaml:"dossier_due,omitempty" validate:"omitempty,min=1000000,max=3600000000000"`
	DraftDue      *Duration `json:"draft_due,omitempty" yaml:"draft_due,omitempty" validate:"omitempty,min=1000000,max=86400000000000"`
	RolloutDue    *Duration `json:"rollout_due,omitempty" yaml:"rollout_due,omitempty" validate:"omitempty,min=1000000,max=86400000000000"`
	// StalenessVersions is how many weight versions a sample may lie behind
	// the one that its trainer holds.
	StalenessVersions *int `json:"staleness_versions,omitempty" yaml:"staleness_versions,omitempty" validate:"omitempty,min=0,max=1000"`
	// StalenessAge is how old the oldest token of a sample may be.
	StalenessAge *Duration `json:"staleness_age,omitempty" yaml:"staleness_age,omitempty" validate:"omitempty,min=1000000,max=86400000000000"`
	// GroupSize is the count of samples made from one prompt.
	GroupSize *int `json:"group_size,omitempty" yaml:"group_size,omitempty" validate:"omitempty,min=1,max=1024"`
	// StepSamples is the count of samples in a step.
	StepSamples *int `json:"step_samples,omitempty" yaml:"step_samples,omitempty" validate:"omitempty,min=1,max=32768"`
	// KeyWindow is how long an Idempotency-Key is kept.
	KeyWindow *Duration `json:"key_window,omitempty" yaml:"key_window,omitempty" validate:"omitempty,min=1000000000,max=2592000000000000"`
	// RetrainEvery is the time between two retraining runs.
	RetrainEvery *Duration `json:"retrain_every,omitempty" yaml:"retrain_every,omitempty" validate:"omitempty,min=1000000000,max=2592000000000000"`
	// Share is the workspace's weight when the service is at its limit.
	Share *float64 `json:"share,omitempty" yaml:"share,omitempty" validate:"omitempty,gt=0,max=1000"`
	// IdleWeight and StalenessWeight say how much trainer idle time and
	// staleness cost the workspace.
	IdleWeight      *float64 `json:"idle_weight,omitempty" yaml:"idle_weight,omitempty" validate:"omitempty,min=0,max=1000"`
	StalenessWeight *float64 `json:"staleness_weight,omitempty" yaml:"staleness_weight,omitempty" validate:"omitempty,min=0,max=1000"`
	// Objective is the share of requests to be answered correctly within
	// their due time, for the burn report.
	Objective *float64 `json:"objective,omitempty" yaml:"objective,omitempty" validate:"omitempty,gt=0,lt=1"`
}

// ResolvedParameters are the parameters of a workspace with every value filled in.
type ResolvedParameters struct {
	Service, Model, Judge       structs.ServiceName
	Timeouts                    [structs.ClassCount]time.Duration
	StalenessVersions           int
	StalenessAge                time.Duration
	GroupSize, StepSamples      int
	KeyWindow, RetrainEvery     time.Duration
	Share                       float64
	IdleWeight, StalenessWeight float64
	Objective                   float64
}

// The values that a workspace has when neither it nor its template sets them.
const (
	defaultLookupDue     = 500 * time.Millisecond
	defaultSubmissionDue = 5 * time.Second
	defaultDossierDue    = 2 * time.Second
	defaultDraftDue      = time.Minute
	defaultRolloutDue    = 10 * time.Minute
	defaultInternalDue   = time.Minute
	defaultStaleVersions = 2
	defaultStaleAge      = 34 * time.Minute
	defaultGroupSize     = 4
	defaultStepSamples   = 64
	defaultKeyWindow     = 24 * time.Hour
	defaultRetrainEvery  = 17 * time.Minute
	defaultObjective     = 0.999
)

// FindWorkspace returns the workspace of a name, or nil.
func (d *Document) FindWorkspace(name structs.WorkspaceName) *Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// FindTemplate returns the template of a name, or nil.
func (d *Document) FindTemplate(name string) *Template {
	for i := range d.Templates {
		if d.Templates[i].Name == name {
			return &d.Templates[i]
		}
	}
	return nil
}

// Resolve returns the parameters of a workspace and reports whether the
// document has it.
func (d *Document) Resolve(name structs.WorkspaceName) (ResolvedParameters, bool) {
	workspace := d.FindWorkspace(name)
	if workspace == nil {
		return ResolvedParameters{}, false
	}
	resolved := defaults()
	if template := d.FindTemplate(workspace.Template); template != nil {
		resolved.apply(template.Parameters)
	}
	resolved.apply(workspace.Parameters)
	return resolved, true
}

func defaults() ResolvedParameters {
	resolved := ResolvedParameters{
		StalenessVersions: defaultStaleVersions,
		StalenessAge:      defaultStaleAge,
		GroupSize:         defaultGroupSize,
		StepSamples:       defaultStepSamples,
		KeyWindow:         defaultKeyWindow,
		RetrainEvery:      defaultRetrainEvery,
		Share:             1,
		IdleWeight:        1,
		StalenessWeight:   1,
		Objective:         defaultObjective,
	}
	resolved.Timeouts[structs.ClassLookup] = defaultLookupDue
	resolved.Timeouts[structs.ClassSubmission] = defaultSubmissionDue
	resolved.Timeouts[structs.ClassDossier] = defaultDossierDue
	resolved.Timeouts[structs.ClassDraft] = defaultDraftDue
	resolved.Timeouts[structs.ClassRollout] = defaultRolloutDue
	resolved.Timeouts[structs.ClassInternal] = defaultInternalDue
	return resolved
}

func (r *ResolvedParameters) apply(p Parameters) {
	set(&r.Service, p.Service)
	set(&r.Model, p.Model)
	set(&r.Judge, p.Judge)
	setSpan(&r.Timeouts[structs.ClassLookup], p.LookupDue)
	setSpan(&r.Timeouts[structs.ClassSubmission], p.SubmissionDue)
	setSpan(&r.Timeouts[structs.ClassDossier], p.DossierDue)
	setSpan(&r.Timeouts[structs.ClassDraft], p.DraftDue)
	setSpan(&r.Timeouts[structs.ClassRollout], p.RolloutDue)
	set(&r.StalenessVersions, p.StalenessVersions)
	setSpan(&r.StalenessAge, p.StalenessAge)
	set(&r.GroupSize, p.GroupSize)
	set(&r.StepSamples, p.StepSamples)
	setSpan(&r.KeyWindow, p.KeyWindow)
	setSpan(&r.RetrainEvery, p.RetrainEvery)
	set(&r.Share, p.Share)
	set(&r.IdleWeight, p.IdleWeight)
	set(&r.StalenessWeight, p.StalenessWeight)
	set(&r.Objective, p.Objective)
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func setSpan(to *time.Duration, from *Duration) {
	if from != nil {
		*to = time.Duration(*from)
	}
}
