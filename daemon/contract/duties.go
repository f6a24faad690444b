package contract

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// The names of the services that do the platform's singleton duties.
const (
	// NameDuties offers Duties.
	NameDuties kernel.Name = "control.duties"
	// NameUsage offers Usage and reports the usage of the workspaces.
	NameUsage kernel.Name = "control.usage"
	// NameFleetSize orders servers according to the work.
	NameFleetSize kernel.Name = "control.fleet"
)

// DutiesView is an immutable snapshot of who holds the duties.
type DutiesView struct {
	// Holder is the name of the daemon that holds them, and FencingToken its fencing
	// token. The name is empty while nobody does.
	Holder       string
	FencingToken uint64
	// Since is when this daemon learned of the holder.
	Since time.Time
	// IsSelf is set on the holder itself, once calls of earlier holders can no longer
	// take effect.
	IsSelf bool
}

// Duties makes the calls of the singleton duties, of which one daemon at a time is the
// holder. Errors of the calls mean that the outcome is unknown: the platform may execute
// the call later.
type Duties interface {
	// View returns the snapshot. It may be called from any goroutine.
	View() *kernel.Snapshot[DutiesView]
	// Holds reports whether this daemon certainly holds the duties now. It may be called
	// from any goroutine.
	Holds() bool
	// ReportUsage and OrderServers make one call each, within the platform's rate, if
	// this daemon holds the duties when it is sent. They fail with code NotHolder, and
	// nothing was sent, if it does not. They block and may be called from any goroutine
	// but the control goroutine.
	ReportUsage(ctx context.Context, report outside.UsageReport) (outside.DutyOutcome, error)
	OrderServers(ctx context.Context, order outside.ServerOrder) (outside.DutyOutcome, error)
}

// Usage counts the requests that begin to run.
type Usage interface {
	// RecordStart records that a server began to run a request of a workspace. It may be
	// called from any goroutine and does not block.
	RecordStart(workspace structs.WorkspaceName, at time.Time)
}
