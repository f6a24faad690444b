package settings

import (
	"reflect"
	"slices"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ErrInvalid is returned for a document or edit that is not allowed.
var ErrInvalid = errors.New("settings: not allowed")

// ChangeID names a change; an operator who applies the same id again learns
// what became of it.
type ChangeID string

// Change is a set of edits that takes effect as a whole or not at all.
type Change struct {
	ID    ChangeID `json:"id" yaml:"id" validate:"required,max=64"`
	Edits []Edit   `json:"edits" yaml:"edits" validate:"min=1,max=64,dive"`
	// SeenRound is the newest round of changes that the operator knew of when
	// the change was first applied; zero means the newest of all. It lets a
	// change id be refused when its decision is no longer kept.
	SeenRound uint64 `json:"seen_round,omitempty" yaml:"seen_round,omitempty"`
}

// EditKind says what an edit does.
type EditKind string

// The kinds of edits.
const (
	// SetTemplate sets parameters of a template.
	SetTemplate EditKind = "set-template"
	// SetWorkspace sets parameters of a workspace.
	SetWorkspace EditKind = "set-workspace"
	// CreateWorkspace makes a workspace from a template.
	CreateWorkspace EditKind = "create-workspace"
	// RemoveWorkspace removes a workspace.
	RemoveWorkspace EditKind = "remove-workspace"
)

// Edit changes one template or one workspace.
type Edit struct {
	Kind      EditKind              `json:"kind" yaml:"kind" validate:"oneof=set-template set-workspace create-workspace remove-workspace"`
	Template  string                `json:"template,omitempty" yaml:"template,omitempty"`
	Workspace structs.WorkspaceName `json:"workspace,omitempty" yaml:"workspace,omitempty"`
	// Set holds the parameters to change; those left nil stay as they are.
	Set Parameters `json:"set" yaml:"set"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Validate checks ranges, and that every workspace's template exists. It
// fails with ErrInvalid.
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

// Apply returns a copy of the document with a change made. It fails with
// ErrInvalid and then leaves nothing changed.
func (d *Document) Apply(change Change) (*Document, error) {
	if err := validate.Struct(change); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	next := d.clone()
	for _, edit := range change.Edits {
		if err := next.edit(edit); err != nil {
			return nil, err
		}
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return next, nil
}

// clone copies the parts that edit changes. Parameters point to values that
// are replaced, never written to.
func (d *Document) clone() *Document {
	return &Document{
		Zones:      d.Zones,
		Templates:  append([]Template(nil), d.Templates...),
		Workspaces: append([]Workspace(nil), d.Workspaces...),
	}
}

func (d *Document) edit(edit Edit) error {
	switch edit.Kind {
	case CreateWorkspace:
		return d.create(edit)
	case RemoveWorkspace:
		return d.remove(edit.Workspace)
	case SetTemplate:
		return d.setTemplate(edit)
	default:
		return d.setWorkspace(edit)
	}
}

func (d *Document) create(edit Edit) error {
	if edit.Workspace == "" || d.FindWorkspace(edit.Workspace) != nil {
		return errors.Wrapf(ErrInvalid, "workspace %q cannot be created", edit.Workspace)
	}
	d.Workspaces = append(d.Workspaces, Workspace{Name: edit.Workspace, Template: edit.Template, Parameters: edit.Set})
	return nil
}

func (d *Document) remove(name structs.WorkspaceName) error {
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

// merge takes over the parameters that are set in from.
func (p *Parameters) merge(from Parameters) {
	source, target := reflect.ValueOf(from), reflect.ValueOf(p).Elem()
	for i := range source.NumField() {
		if !source.Field(i).IsNil() {
			target.Field(i).Set(source.Field(i))
		}
	}
}

// ChangedWorkspaces lists the workspaces whose resolved parameters differ between two
// documents, those that only one of them has included.
func ChangedWorkspaces(before, after *Document) []structs.WorkspaceName {
	var touched []structs.WorkspaceName
	for _, workspace := range after.Workspaces {
		was, had := before.Resolve(workspace.Name)
		is, _ := after.Resolve(workspace.Name)
		if !had || was != is {
			touched = append(touched, workspace.Name)
		}
	}
	for _, workspace := range before.Workspaces {
		if after.FindWorkspace(workspace.Name) == nil {
			touched = append(touched, workspace.Name)
		}
	}
	return touched
}

// Overlap reports whether two changes set the same parameter of the same
// template or workspace, or one of them creates or removes a workspace that
// the other names.
func Overlap(a, b Change) bool {
	for _, one := range a.Edits {
		for _, other := range b.Edits {
			if one.overlaps(other) {
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
	one, two := reflect.ValueOf(p), reflect.ValueOf(other)
	for i := range one.NumField() {
		if !one.Field(i).IsNil() && !two.Field(i).IsNil() {
			return true
		}
	}
	return false
}
