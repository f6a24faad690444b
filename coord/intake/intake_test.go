package intake

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const mebibyte = 1 << 20

var testBudget = Budget{Bytes: 64 * mebibyte, Connections: 4, Requests: 4, StalledAfter: time.Second}

func receiving(held int64, still time.Duration) Holder {
	return Holder{Origin: "a", Phase: Receiving, Held: held, Still: still, Served: true}
}

func TestAdmits_KeepsRoomForOrdinaryRequests(t *testing.T) {
	full := int64(48 * mebibyte)
	must.False(t, testBudget.Admits(mebibyte, 1, full))
	must.True(t, testBudget.Admits(0, SmallHolding, full))
	must.False(t, testBudget.Admits(0, SmallHolding, testBudget.Bytes))
}

// TestAdmits_SmallestHost checks that a body at the default limit fits on the smallest
// host beside a hundred ordinary requests.
func TestAdmits_SmallestHost(t *testing.T) {
	budget := BudgetOf(184*mebibyte, 4100)
	must.True(t, budget.Admits(32*mebibyte, SmallHolding, 32*mebibyte+100*(48<<10)))
}

// TestBytesFrom_StoppedShort plays clients that stopped short of the end of large bodies
// beside a large one that moves and a small slow one.
func TestBytesFrom_StoppedShort(t *testing.T) {
	holders := []Holder{
		receiving(16*mebibyte, 10*time.Millisecond), receiving(64<<10, 5*time.Second),
		receiving(8*mebibyte, 3*time.Second), receiving(16*mebibyte, 4*time.Second), receiving(0, 0),
	}
	must.Eq(t, []int{3}, testBudget.BytesFrom(holders, 4, mebibyte))
	must.Eq(t, []int{3, 2}, testBudget.BytesFrom(holders, 4, 20*mebibyte))
}

// TestBytesFrom_AllMove checks that of many large bodies that all arrive, the one that asks
// for more than its share is refused, so that the others become whole, and that an ordinary
// request is not refused for them.
func TestBytesFrom_AllMove(t *testing.T) {
	holders := []Holder{receiving(30*mebibyte, 0), receiving(20*mebibyte, 0), receiving(10*mebibyte, 0), receiving(1<<10, 0)}
	must.Eq(t, []int{1}, testBudget.BytesFrom(holders, 1, mebibyte))
	must.Eq(t, []int{0}, testBudget.BytesFrom(holders, 3, 1<<10))
}

func TestBytesFrom_NeverThoseThatRun(t *testing.T) {
	holders := []Holder{{Phase: Running, Held: 40 * mebibyte, Still: time.Minute}, {Phase: Idle, Still: time.Minute}, receiving(1<<10, 0)}
	must.SliceEmpty(t, testBudget.BytesFrom(holders, 2, mebibyte/16))
}

// TestBytesFrom_CrowdOfOneAddress checks that clients of an address that holds most end
// before a client of another that has stood still for longer.
func TestBytesFrom_CrowdOfOneAddress(t *testing.T) {
	holders := []Holder{receiving(mebibyte, 2*time.Second), receiving(mebibyte, 2*time.Second), receiving(mebibyte, time.Minute), receiving(0, 0)}
	holders[2].Origin = "b"
	must.Eq(t, []int{0}, testBudget.BytesFrom(holders, 3, 1))
}

// TestConnectionFrom plays a crowd that holds connections without a request.
func TestConnectionFrom(t *testing.T) {
	holders := []Holder{
		{Phase: Idle, Still: 12 * time.Second, Served: true}, {Phase: Idle, Still: 2 * time.Second}, {Phase: Idle, Still: 3 * time.Second},
		{Phase: Running, Still: time.Minute, Served: true}, receiving(1, time.Minute),
	}
	must.Eq(t, 2, testBudget.ConnectionFrom(holders))
	must.Eq(t, 0, testBudget.ConnectionFrom(holders[:1]))
	must.Eq(t, 1, testBudget.ConnectionFrom(holders[3:]))
	must.Eq(t, -1, testBudget.ConnectionFrom(holders[3:4]))
}

// TestBytesFrom_Property checks for any holders that only clients end whose requests have
// not run or whose answers are not read, and that none ends without need.
func TestBytesFrom_Property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Holder {
			return Holder{
				Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"), Phase: Phase(rapid.IntRange(0, int(Answering)).Draw(t, "phase")),
				Held: rapid.Int64Range(0, 32*mebibyte).Draw(t, "held"), Still: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "still")),
			}
		}), 1, 20).Draw(t, "holders")
		claimer := rapid.IntRange(0, len(holders)-1).Draw(t, "claimer")
		more := rapid.Int64Range(1, 32*mebibyte).Draw(t, "more")
		ended := testBudget.BytesFrom(holders, claimer, more)
		var freed int64
		for count, i := range ended {
			must.True(t, freed < more || count == 0)
			must.True(t, i == claimer || holders[i].Phase == Receiving || holders[i].Phase == Answering)
			freed += holders[i].Held
		}
	})
}
