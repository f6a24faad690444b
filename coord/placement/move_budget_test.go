package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	fastPace = 43 * time.Millisecond
	slowPace = 56 * time.Millisecond
	tick     = 250 * time.Millisecond
)

// playStep plays a step of 100 texts of 5 to 54 events, of which each third begins on an
// engine with another pace than the rest, and returns when the step ends and the moves.
func playStep(slow time.Duration, take func(budget *MoveBudget, run SlowRun) bool) (time.Duration, int) {
	type text struct {
		left    float64
		pace    time.Duration
		slowFor time.Duration
		moves   int
	}
	texts := make([]text, 100)
	for i := range texts {
		texts[i] = text{left: float64(5 + i*i/200), pace: fastPace}
		if i%3 == 0 {
			texts[i].pace = slow
		}
	}
	var budget MoveBudget
	for now := time.Duration(0); ; now += tick {
		slices.SortStableFunc(texts, func(a, b text) int { return int(b.left*float64(b.pace) - a.left*float64(a.pace)) })
		if texts[0].left <= 0 || now > time.Minute {
			return now, budget.Moved
		}
		for i := range texts {
			t := &texts[i]
			run := SlowRun{
				Remaining: int(t.left), Pace: t.pace, OtherPace: fastPace, SlowFor: t.slowFor, Moves: t.moves,
				UntilNeeded: NeededBy(7500*time.Millisecond) - now,
			}
			if t.left > 0 && take(&budget, run) {
				t.pace, t.moves = fastPace, t.moves+1
				continue
			}
			t.slowFor += tick
			t.left -= float64(tick) / float64(t.pace)
		}
	}
}

func takeFrom(budget *MoveBudget, run SlowRun) bool { return budget.Take(run, 100) }

func takeAll(budget *MoveBudget, run SlowRun) bool {
	if ShouldMove(run.Remaining, run.Pace, run.OtherPace) {
		budget.Moved++
		return true
	}
	return false
}

// TestMoveBudget_EnginesOfUnlikeSpeed plays engines of which a third is 1.3 times as slow. The
// step must end about as soon as with all moves that save something, with few of them.
func TestMoveBudget_EnginesOfUnlikeSpeed(t *testing.T) {
	endWithout, _ := playStep(slowPace, func(*MoveBudget, SlowRun) bool { return false })
	endWithAll, all := playStep(slowPace, takeAll)
	end, moves := playStep(slowPace, takeFrom)
	must.Less(t, endWithout, end)
	must.LessEq(t, endWithAll+2*tick, end)
	must.LessEq(t, 5, moves, must.Sprint("moves of 100 items"))
	must.Greater(t, 5, all)
}

// TestMoveBudget_EnginesFail plays a third of the engines that become ten times as slow. The
// step must still end within its time, and the moves are bounded.
func TestMoveBudget_EnginesFail(t *testing.T) {
	end, moves := playStep(10*fastPace, takeFrom)
	must.Less(t, 7500*time.Millisecond, end)
	must.LessEq(t, 30, moves)
}

// TestMoveBudget_RunsThatEndTheStep offers a long and a shorter run on engines that are both
// slow. Only the long one moves, unless the shorter one may well end last.
func TestMoveBudget_RunsThatEndTheStep(t *testing.T) {
	long := SlowRun{Remaining: 111, Pace: slowPace, OtherPace: fastPace, SlowFor: time.Second}
	must.True(t, new(MoveBudget).Take(long, 1000))
	shorter := SlowRun{Remaining: 40, Pace: slowPace, OtherPace: fastPace, SlowFor: time.Second, StepEnd: long.BestFinish()}
	must.False(t, new(MoveBudget).Take(shorter, 1000))
	shorter.Remaining = 60
	must.True(t, new(MoveBudget).Take(shorter, 1000))
	shorter.Remaining, shorter.Pace = 40, 10*fastPace
	must.True(t, new(MoveBudget).Take(shorter, 1000))
}

// TestMoveBudget_NoMovesBackAndForth offers the same run again and again, each time with an
// engine that seems a bit faster.
func TestMoveBudget_NoMovesBackAndForth(t *testing.T) {
	var budget MoveBudget
	run := SlowRun{Remaining: 60, Pace: slowPace, OtherPace: fastPace, SlowFor: time.Second}
	for range 20 {
		if budget.Take(run, 1000) {
			run.Moves++
		}
	}
	must.LessEq(t, 2, run.Moves)
	must.False(t, new(MoveBudget).Take(SlowRun{Remaining: 60, Pace: slowPace, OtherPace: fastPace}, 1000))
}
