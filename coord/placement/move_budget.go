package placement

import "time"

const (
	// moveShare is the share of a step's items that may move to end the step sooner, and
	// lateMoveShare the share that may move when they are late. minMoves applies to
	// small steps.
	moveShare     = 0.03
	lateMoveShare = 0.3
	minMoves      = 1
	// slowConfirmTime is how long a run must be slow before it moves: it exceeds the time
	// for which a prompt or a load of weights holds up the runs beside it.
	slowConfirmTime = 250 * time.Millisecond
	// lengthMargin is how much later than expected a run may well end: a quarter of the
	// texts are longer than 1.4 times their hint.
	lengthMargin = 1.4
	// moveMargin is lengthMargin for moves: one text in twelve is longer than twice its hint,
	// and a step ends with its last text.
	moveMargin = 2
)

// SlowRun is a run that would end sooner on another engine.
type SlowRun struct {
	// Remaining is the number of events left; Pace is the time between them, and
	// OtherPace that on the other engine.
	Remaining int
	Pace      time.Duration
	OtherPace time.Duration
	// SlowFor is how long it has been slow.
	SlowFor time.Duration
	// Moves is the number of earlier moves of its item.
	Moves int
	// UntilNeeded is the time until the step should be whole.
	UntilNeeded time.Duration
	// StepEnd is the expected time until the other texts of the step are whole, as far as
	// they cannot be sooner.
	StepEnd time.Duration
}

// Finish returns the expected time until the run ends where it is.
func (r SlowRun) Finish() time.Duration { return time.Duration(r.Remaining) * r.Pace }

// BestFinish returns the expected time until the run ends where that is soonest.
func (r SlowRun) BestFinish() time.Duration {
	if r.OtherPace > 0 && ShouldMove(r.Remaining, r.Pace, r.OtherPace) {
		return time.Duration(r.Remaining) * r.OtherPace
	}
	return r.Finish()
}

func (r SlowRun) saving() time.Duration { return time.Duration(r.Remaining) * (r.Pace - r.OtherPace) }

// NeededBy returns the time after its submission at which a step should be whole. The rest
// of its time is left for generating again what a failure has cost.
func NeededBy(resultDeadline time.Duration) time.Duration { return resultDeadline / 3 }

// MoveBudget bounds the runs of a step that are stopped to continue on another engine. A
// move costs a connection, and the prompt and the text are read again. It answers the load
// of engines of unlike speed: each run on a slower one would gain something by a move, but
// the step ends with its last run, so only the runs that end last move. The zero value is
// that of a step without moves.
type MoveBudget struct {
	// Moved is the number of moves so far.
	Moved int
}

// Take reports whether a run of a step with a number of items moves, and counts it. The
// runs of a step must be offered in the order of their Finish, the last first.
func (b *MoveBudget) Take(run SlowRun, items int) bool {
	if run.SlowFor < slowConfirmTime || !ShouldMove(run.Remaining, run.Pace, run.OtherPace) {
		return false
	}
	if moveMargin*float64(run.Finish()) <= float64(run.StepEnd) {
		return false
	}
	// An item that moves again has less and less to gain.
	if run.saving() < minMoveSaving<<min(run.Moves, maxMoveDoublings) {
		return false
	}
	share := moveShare
	if run.Finish() > run.UntilNeeded {
		share = lateMoveShare
	}
	if b.Moved >= max(minMoves, int(share*float64(items))) {
		return false
	}
	b.Moved++
	return true
}

// maxMoveDoublings bounds the doublings of the time that another move must save.
const maxMoveDoublings = 4
