package outside

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// DutySettings describes the calls to the platform that one daemon at a time makes.
type DutySettings struct {
	// Address is where the platform takes the calls; empty if there are none.
	Address string
	// CallsPerSecond is the rate that the platform accepts from all daemons together.
	CallsPerSecond float64
	// ReportsUsage and ScalesFleet are set if the deployment has the duty.
	ReportsUsage bool
	ScalesFleet  bool
	// ChecksFencing is set if the platform and the servers refuse a fencing token that
	// is lower than one that they have seen.
	ChecksFencing bool
	// HolderLease is the time in which holders may not act in turns.
	HolderLease time.Duration
	// UsageWindow is the length of a window of usage, and UsageDue how soon after its
	// end the window must be reported.
	UsageWindow time.Duration
	UsageDue    time.Duration
}

// DutyHolder identifies the daemon that makes a call of a duty.
type DutyHolder struct {
	Name string
	// FencingToken increases when the holder changes.
	FencingToken uint64
}

// UsageReport holds how many requests of each workspace began to run in a window.
type UsageReport struct {
	// Window is the number of the window, counted from the start of 1970.
	Window int64
	Counts map[structs.WorkspaceName]int64
}

// ServerOrder sets the number of a service's servers in a zone.
type ServerOrder struct {
	Service structs.ServiceName
	Zone    structs.ZoneName
	// Reclaimable selects the servers that the platform may take back at short notice.
	Reclaimable bool
	Count       int
}

// DutyOutcome is the platform's response to a call of a duty.
type DutyOutcome uint8

// The outcomes of a call of a duty. After an error the platform may execute the call
// nevertheless, also seconds later.
const (
	// DutyDone means that the platform executed the call.
	DutyDone DutyOutcome = iota
	// DutyConflict means that the platform has seen a higher fencing token, or has no
	// such servers at present.
	DutyConflict
	// DutyRateLimited means that all daemons together made too many calls.
	DutyRateLimited
	// DutyRefused stands for any other response. The call was not executed.
	DutyRefused
)

// String returns the name of the outcome in the log.
func (o DutyOutcome) String() string {
	return [...]string{"done", "conflict", "rate limited", "refused"}[o]
}

// DutyCalls makes the calls of duties to the platform.
type DutyCalls interface {
	ReportUsage(ctx context.Context, holder DutyHolder, report UsageReport) (DutyOutcome, error)
	OrderServers(ctx context.Context, holder DutyHolder, order ServerOrder) (DutyOutcome, error)
}
