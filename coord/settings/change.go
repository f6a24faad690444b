package settings

import (
	"reflect"
	"slices"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ErrInvalid is returned for a document or change that fails validation.
var ErrInvalid = errors.New("settings: not allowed")

// ChangeID identifies a change. Applying a change again under the same ID
// returns the outcome of the first application.
type ChangeID string

// Change is a set of edits that is applied atomically.
type Change struct {
	ID    ChangeID `json:"id" yaml:"id" validate:"required,max=64"`
	Edits []Edit   `json:"edits" yaml:"edits" validate:"min=1,max=64,dive"`
	// SeenRound is the latest round of changes known to the operator when the
	// change was first applied; zero stands for the current round. With it, a
	// change whose decision may no longer be stored is rejected instead of
	// being applied a second time.
	SeenRound uint64 `json:"seen_round,omitempty" yaml:"seen_round,omitempty"`
}

// EditKind is the operation of an Edit.
type EditKind string

// The edit kinds.
const (
	// SetTemplate sets parameters of a template.
	SetTemplate EditKind = "set-template"
	// SetWorkspace sets parameters of a workspace.
	SetWorkspace EditKind = "set-workspace"
	// CreateWorkspace creates a workspace from a template.
	CreateWorkspace EditKind = "create-workspace"
	// RemoveWorkspace removes a workspace.
	RemoveWorkspace EditKind = "remove-workspace"
)

// Edit changes one template or one workspace.
type Edit struct {
	Kind      EditKind              `json:"kind" yaml:"kind" validate:"oneof=set-template set-workspace create-workspace remove-workspace"`
	Template  string                `json:"template,omitempty" yaml:"template,omitempty"`
	Workspace structs.WorkspaceName `json:"workspace,omitempty" yaml:"workspace,omitempty"`
	// Set holds the parameters to change. A nil field is left unchanged.
	Set Parameters `json:"set" yaml:"set"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Validate checks that all values are in range and that the template of each
// workspace exists. It fails with ErrInvalid.
func (d *Document) Validate() error {
	if err := validate.Struct(d); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	for _, workspace := range d.Workspaces {
		if d.FindTemplate(workspace.Template) == nil {
			return errors.Wrapf(ErrInvalid, "workspace %s: no template %q", workspace.Name, workspace.Template)
		}
	}
	return nil
}

// Apply returns a copy of the document with the change applied and leaves d
// unmodified. It fails with ErrInvalid.
func (d *Document) Apply(change Change) (*Document, error) {
	if err := validate.Struct(change); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	next := d.clone()
	for _, edit := range change.Edits {
		if err := next.applyEdit(edit); err != nil {
			return nil, err
		}
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return next, nil
}

// clone copies what applyEdit modifies. The values behind the pointers in
// Parameters are shared, since edits replace the pointers and never write
// through them.
func (d *Document) clone() *Document {
	return &Document{
		Zones:      d.Zones,
		Templates:  append([]Template(nil), d.Templates...),
		Workspaces: append([]Workspace(nil), d.Workspaces...),
	}
}

func (d *Document) applyEdit(edit Edit) error {
	switch edit.Kind {
	case CreateWorkspace:
		return d.createWorkspace(edit)
	case RemoveWorkspace:
		return d.removeWorkspace(edit.Workspace)
	case SetTemplate:
		return d.setTemplate(edit)
	default:
		return d.setWorkspace(edit)
	}
}

func (d *Document) createWorkspace(edit Edit) error {
	if edit.Workspace == "" || d.FindWorkspace(edit.Workspace) != nil {
		return errors.Wrapf(ErrInvalid, "workspace %q cannot be created", edit.Workspace)
	}
	d.Workspaces = append(d.Workspaces, Workspace{Name: edit.Workspace, Template: edit.Template, Parameters: edit.Set})
	return nil
}

func (d *Document) removeWorkspace(name structs.WorkspaceName) error {
	if d.FindWorkspace(name) == nil {
		return errors.Wrapf(ErrInvalid, "no workspace %q", name)
	}
	d.Workspaces = slices.DeleteFunc(d.Workspaces, func(w Workspace) bool { return w.Name == name })
	return nil
}

func (d *Document) setTemplate(edit Edit) error {
	template := d.FindTemplate(edit.Template)
	if template == nil {
		return errors.Wrapf(ErrInvalid, "no template %q", edit.Template)
	}
	template.Parameters.merge(edit.Set)
	return nil
}

func (d *Document) setWorkspace(edit Edit) error {
	workspace := d.FindWorkspace(edit.Workspace)
	if workspace == nil {
		return errors.Wrapf(ErrInvalid, "no workspace %q", edit.Workspace)
	}
	workspace.Parameters.merge(edit.Set)
	return nil
}

// merge overwrites the fields of p that are set in overrides.
func (p *Parameters) merge(overrides Parameters) {
	source, target := reflect.ValueOf(overrides), reflect.ValueOf(p).Elem()
	for i := range source.NumField() {
		if !source.Field(i).IsNil() {
			target.Field(i).Set(source.Field(i))
		}
	}
}

// ChangedWorkspaces lists the workspaces whose resolved parameters differ
// between two documents, and those that exist in only one of them.
func ChangedWorkspaces(before, after *Document) []structs.WorkspaceName {
	var changed []structs.WorkspaceName
	for _, workspace := range after.Workspaces {
		oldParameters, existed := before.Resolve(workspace.Name)
		newParameters, _ := after.Resolve(workspace.Name)
		if !existed || oldParameters != newParameters {
			changed = append(changed, workspace.Name)
		}
	}
	for _, workspace := range before.Workspaces {
		if after.FindWorkspace(workspace.Name) == nil {
			changed = append(changed, workspace.Name)
		}
	}
	return changed
}

// Overlap reports whether two changes conflict: both set the same parameter of
// the same template or workspace, or one creates or removes a workspace that
// the other edits.
func Overlap(a, b Change) bool {
	for _, editA := range a.Edits {
		for _, editB := range b.Edits {
			if editA.overlaps(editB) {
				return true
			}
		}
	}
	return false
}

func (e Edit) overlaps(other Edit) bool {
	if (e.Kind == SetTemplate) != (other.Kind == SetTemplate) {
		return false
	}
	if e.Kind == SetTemplate {
		return e.Template == other.Template && e.Set.overlaps(other.Set)
	}
	if e.Workspace != other.Workspace {
		return false
	}
	return e.Kind != SetWorkspace || other.Kind != SetWorkspace || e.Set.overlaps(other.Set)
}

func (p Parameters) overlaps(other Parameters) bool {
	a, b := reflect.ValueOf(p), reflect.ValueOf(other)
	for i := range a.NumField() {
		if !a.Field(i).IsNil() && !b.Field(i).IsNil() {
			return true
		}
	}
	return false
}
