// Package settings defines the configuration document that operators maintain:
// zones, templates and workspaces. Changes edit the parameters of templates and
// workspaces. A workspace inherits the parameters of its template and may
// override each of them.
package settings

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Revision is the version number of an accepted document.
type Revision uint64

// Duration is a time.Duration that is encoded as text, for example "500ms".
type Duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText accepts the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Document is the operators' configuration of the whole service.
type Document struct {
	Zones      []structs.Place `json:"zones" yaml:"zones" validate:"min=1,unique=Zone,dive"`
	Templates  []Template      `json:"templates" yaml:"templates" validate:"min=1,unique=Name,dive"`
	Workspaces []Workspace     `json:"workspaces" yaml:"workspaces" validate:"min=1,unique=Name,dive"`
}

// Template is a named set of parameters that workspaces inherit.
type Template struct {
	Name       string     `json:"name" yaml:"name" validate:"required"`
	Parameters Parameters `json:"parameters" yaml:"parameters"`
}

// Workspace is a customer's instance of a template with its overrides.
type Workspace struct {
	Name       structs.WorkspaceName `json:"name" yaml:"name" validate:"required"`
	Template   string                `json:"template" yaml:"template" validate:"required"`
	Parameters Parameters            `json:"parameters" yaml:"parameters"`
}

// Parameters are the values that a template or workspace may set. A nil field
// is unset.
type Parameters struct {
	// Service is the plain service that receives look-ups and submissions.
	Service *structs.ServiceName `json:"service,omitempty" yaml:"service,omitempty"`
	// Model is the service name of the engines that generate samples.
	Model *structs.ServiceName `json:"model,omitempty" yaml:"model,omitempty"`
	// Judge is the service that scores samples.
	Judge *structs.ServiceName `json:"judge,omitempty" yaml:"judge,omitempty"`
	// LookupDue, SubmissionDue, DossierDue, DraftDue and RolloutDue are the
	// request timeouts of the classes.
	LookupDue     *Duration `json:"lookup_due,omitempty" yaml:"lookup_due,omitempty" validate:"omitempty,min=1000000,max=3600000000000"`
	SubmissionDue *Duration `json:"submission_due,omitempty" yaml:"submission_due,omitempty" validate:"omitempty,min=1000000,max=3600000000000"`
	DossierDue    *Duration `json:"dossier_due,omitempty" yaml:"dossier_due,omitempty" validate:"omitempty,min=1000000,max=3600000000000"`
	DraftDue      *Duration `json:"draft_due,omitempty" yaml:"draft_due,omitempty" validate:"omitempty,min=1000000,max=86400000000000"`
	RolloutDue    *Duration `json:"rollout_due,omitempty" yaml:"rollout_due,omitempty" validate:"omitempty,min=1000000,max=86400000000000"`
	// StalenessVersions is the maximum number of weight versions by which a
	// sample may lag behind the version that its trainer holds.
	StalenessVersions *int `json:"staleness_versions,omitempty" yaml:"staleness_versions,omitempty" validate:"omitempty,min=0,max=1000"`
	// StalenessAge is the maximum age of the oldest token of a sample.
	StalenessAge *Duration `json:"staleness_age,omitempty" yaml:"staleness_age,omitempty" validate:"omitempty,min=1000000,max=86400000000000"`
	// GroupSize is the number of samples generated from one prompt.
	GroupSize *int `json:"group_size,omitempty" yaml:"group_size,omitempty" validate:"omitempty,min=1,max=1024"`
	// StepSamples is the number of samples in a training step.
	StepSamples *int `json:"step_samples,omitempty" yaml:"step_samples,omitempty" validate:"omitempty,min=1,max=32768"`
	// KeyWindow is the retention period of an Idempotency-Key.
	KeyWindow *Duration `json:"key_window,omitempty" yaml:"key_window,omitempty" validate:"omitempty,min=1000000000,max=2592000000000000"`
	// RetrainEvery is the interval between retraining runs.
	RetrainEvery *Duration `json:"retrain_every,omitempty" yaml:"retrain_every,omitempty" validate:"omitempty,min=1000000000,max=2592000000000000"`
	// Share is the weight of the workspace in fair sharing when the service is
	// at capacity.
	Share *float64 `json:"share,omitempty" yaml:"share,omitempty" validate:"omitempty,gt=0,max=1000"`
	// IdleWeight and StalenessWeight are the relative costs of trainer idle
	// time and of staleness to the workspace.
	IdleWeight      *float64 `json:"idle_weight,omitempty" yaml:"idle_weight,omitempty" validate:"omitempty,min=0,max=1000"`
	StalenessWeight *float64 `json:"staleness_weight,omitempty" yaml:"staleness_weight,omitempty" validate:"omitempty,min=0,max=1000"`
	// Objective is the service level objective of the burn-rate report: the
	// fraction of requests that must be answered correctly within their timeout.
	Objective *float64 `json:"objective,omitempty" yaml:"objective,omitempty" validate:"omitempty,gt=0,lt=1"`
}

// ResolvedParameters are the effective parameters of a workspace, after
// defaults, template and overrides are merged.
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

// Defaults of parameters that neither the workspace nor its template sets.
const (
	defaultLookupTimeout     = 500 * time.Millisecond
	defaultSubmissionTimeout = 5 * time.Second
	defaultDossierTimeout    = 2 * time.Second
	defaultDraftTimeout      = time.Minute
	defaultRolloutTimeout    = 10 * time.Minute
	defaultInternalTimeout   = time.Minute
	defaultStalenessVersions = 2
	defaultStalenessAge      = 34 * time.Minute
	defaultGroupSize         = 4
	defaultStepSamples       = 64
	defaultKeyWindow         = 24 * time.Hour
	defaultRetrainInterval   = 17 * time.Minute
	defaultObjective         = 0.999
)

// FindWorkspace returns the workspace with the given name, or nil.
func (d *Document) FindWorkspace(name structs.WorkspaceName) *Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// FindTemplate returns the template with the given name, or nil.
func (d *Document) FindTemplate(name string) *Template {
	for i := range d.Templates {
		if d.Templates[i].Name == name {
			return &d.Templates[i]
		}
	}
	return nil
}

// Resolve returns the effective parameters of a workspace and reports whether
// the workspace exists.
func (d *Document) Resolve(name structs.WorkspaceName) (ResolvedParameters, bool) {
	workspace := d.FindWorkspace(name)
	if workspace == nil {
		return ResolvedParameters{}, false
	}
	resolved := defaultParameters()
	if template := d.FindTemplate(workspace.Template); template != nil {
		resolved.override(template.Parameters)
	}
	resolved.override(workspace.Parameters)
	return resolved, true
}

func defaultParameters() ResolvedParameters {
	resolved := ResolvedParameters{
		StalenessVersions: defaultStalenessVersions,
		StalenessAge:      defaultStalenessAge,
		GroupSize:         defaultGroupSize,
		StepSamples:       defaultStepSamples,
		KeyWindow:         defaultKeyWindow,
		RetrainEvery:      defaultRetrainInterval,
		Share:             1,
		IdleWeight:        1,
		StalenessWeight:   1,
		Objective:         defaultObjective,
	}
	resolved.Timeouts[structs.ClassLookup] = defaultLookupTimeout
	resolved.Timeouts[structs.ClassSubmission] = defaultSubmissionTimeout
	resolved.Timeouts[structs.ClassDossier] = defaultDossierTimeout
	resolved.Timeouts[structs.ClassDraft] = defaultDraftTimeout
	resolved.Timeouts[structs.ClassRollout] = defaultRolloutTimeout
	resolved.Timeouts[structs.ClassInternal] = defaultInternalTimeout
	return resolved
}

// override replaces the values that p sets.
func (r *ResolvedParameters) override(p Parameters) {
	overrideValue(&r.Service, p.Service)
	overrideValue(&r.Model, p.Model)
	overrideValue(&r.Judge, p.Judge)
	overrideDuration(&r.Timeouts[structs.ClassLookup], p.LookupDue)
	overrideDuration(&r.Timeouts[structs.ClassSubmission], p.SubmissionDue)
	overrideDuration(&r.Timeouts[structs.ClassDossier], p.DossierDue)
	overrideDuration(&r.Timeouts[structs.ClassDraft], p.DraftDue)
	overrideDuration(&r.Timeouts[structs.ClassRollout], p.RolloutDue)
	overrideValue(&r.StalenessVersions, p.StalenessVersions)
	overrideDuration(&r.StalenessAge, p.StalenessAge)
	overrideValue(&r.GroupSize, p.GroupSize)
	overrideValue(&r.StepSamples, p.StepSamples)
	overrideDuration(&r.KeyWindow, p.KeyWindow)
	overrideDuration(&r.RetrainEvery, p.RetrainEvery)
	overrideValue(&r.Share, p.Share)
	overrideValue(&r.IdleWeight, p.IdleWeight)
	overrideValue(&r.StalenessWeight, p.StalenessWeight)
	overrideValue(&r.Objective, p.Objective)
}

func overrideValue[T any](target *T, source *T) {
	if source != nil {
		*target = *source
	}
}

func overrideDuration(target *time.Duration, source *Duration) {
	if source != nil {
		*target = time.Duration(*source)
	}
}
