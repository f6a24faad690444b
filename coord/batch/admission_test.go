package batch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// trainerLoad is a trainer that began five seconds late, with two steps open at a time. Each
// step has 11 groups of 8 texts, of which the trainer waits for 10; a text has 27 events on
// average and at most 197, and its hint is right at the median. From lostFrom for ten seconds
// lostSlots slots are away, whose texts continue elsewhere.
type trainerLoad struct{ slots, lostFrom, lostSlots int }

const (
	loadTick   = 40 * time.Millisecond
	loadGroups = 11
	loadWanted = 10
	loadSteps  = 25
)

type loadItem struct {
	step, group, left, made int
	hint                    float64
}

// play returns the share of the wanted groups that were whole in time, and how late the last
// step was asked.
func (l trainerLoad) play(seed int64, order func([]Step) []Portion) (inTime float64, late time.Duration) {
	random := rand.New(rand.NewSource(seed))
	var items, running []*loadItem
	asked, missing, whole := make([]time.Duration, loadSteps), make([][loadGroups]int, loadSteps), make([]int, loadSteps)
	due, next, ended, trainedAt := 7500*time.Millisecond, 0, 0, 5*time.Second
	namedAt := []time.Duration{trainedAt, trainedAt}
	for now := trainedAt; ended < loadSteps; now += loadTick {
		for ; next < min(loadSteps, len(namedAt)) && now >= max(namedAt[next], 4*time.Second*time.Duration(next)); next++ {
			asked[next] = now
			for i := range loadGroups * 8 {
				events := math.Exp(random.NormFloat64()*0.8 + 2.7)
				if random.Float64() < 0.08 {
					events *= 5
				}
				events = min(197, max(1, events))
				items = append(items, &loadItem{step: next, group: i % loadGroups, left: int(events), hint: min(197, events*math.Exp(random.NormFloat64()*0.5))})
				missing[next][i%loadGroups]++
			}
		}
		slots := l.slots
		if from := time.Duration(l.lostFrom) * time.Second; l.lostFrom > 0 && now >= from && now < from+10*time.Second {
			slots -= l.lostSlots
		}
		for len(running) > slots {
			items, running = append(items, running[0]), running[1:]
		}
		steps, byStep := make([]Step, next-ended), make([][]*loadItem, next-ended)
		for k := range steps {
			steps[k] = Step{Standing: Standing{ID: fmt.Sprint(k), Deadline: time.Unix(0, 0).Add(asked[ended+k] + due)}, Slots: l.slots, Period: due, SpareGroups: loadGroups - loadWanted}
		}
		for _, it := range items {
			k := it.step - ended
			begun := it.made > 0 || missing[it.step][it.group] < 8 || slices.ContainsFunc(running, func(r *loadItem) bool { return r.step == it.step && r.group == it.group })
			steps[k].Waiting = append(steps[k].Waiting, WaitingItem{Group: fmt.Sprint(it.group), Needed: time.Duration(max(1, 1.13*it.hint-float64(it.made))) * loadTick, HasBegun: begun})
			byStep[k] = append(byStep[k], it)
		}
		for _, portion := range order(steps) {
			for _, index := range portion.Items {
				if len(running) < slots {
					running = append(running, byStep[portion.Step][index])
				}
			}
		}
		items = slices.DeleteFunc(items, func(it *loadItem) bool { return slices.Contains(running, it) })
		running = slices.DeleteFunc(running, func(it *loadItem) bool {
			it.left, it.made = it.left-1, it.made+1
			if it.left > 0 {
				return false
			}
			if missing[it.step][it.group]--; missing[it.step][it.group] == 0 && whole[it.step] < loadWanted {
				if whole[it.step]++; now <= asked[it.step]+due {
					inTime++
				}
			}
			return true
		})
		for ended < next && whole[ended] >= loadWanted {
			isEnded := func(it *loadItem) bool { return it.step == ended }
			items, running = slices.DeleteFunc(items, isEnded), slices.DeleteFunc(running, isEnded)
			ended, trainedAt = ended+1, max(trainedAt, now)+time.Second
			namedAt = append(namedAt, trainedAt)
		}
	}
	return inTime / (loadWanted * loadSteps), asked[loadSteps-1] - 4*time.Second*(loadSteps-1)
}

// byDeadline is the order by deadline, then the longest first.
func byDeadline(steps []Step) []Portion {
	portions := make([]Portion, len(steps))
	for s := range steps {
		portions[s].Step = s
		for i := range steps[s].Waiting {
			portions[s].Items = append(portions[s].Items, i)
		}
		slices.SortStableFunc(portions[s].Items, func(a, b int) int {
			return cmp.Compare(steps[s].Waiting[b].Needed, steps[s].Waiting[a].Needed)
		})
	}
	return portions
}

// TestAdmit_Order checks that the long text of a later step goes before a short one of an
// earlier step, groups that the trainer does not need last, and a starved workspace first.
func TestAdmit_Order(t *testing.T) {
	due := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	text := func(group string, needed time.Duration) WaitingItem { return WaitingItem{Group: group, Needed: needed} }
	steps := []Step{
		{Standing: Standing{ID: "later", Workspace: "large", Deadline: due(10), Running: 40, Waiting: 60}, Slots: 1, Period: 8 * time.Second, Waiting: []WaitingItem{text("a", 6*time.Second)}},
		{Standing: Standing{ID: "earlier", Workspace: "large", Deadline: due(8), Running: 40, Waiting: 60}, Slots: 1, Period: 8 * time.Second, SpareGroups: 1, Waiting: []WaitingItem{text("b", time.Second), text("c", 5*time.Second)}},
	}
	must.Eq(t, []Portion{{Step: 0, Items: []int{0}}, {Step: 1, Items: []int{0}}, {Step: 1, Items: []int{1}, IsSpare: true}}, Admit(steps))
	// No group goes last if engines have room, nor one that has begun.
	noneSpare := []Portion{{Step: 1, Items: []int{1}}, {Step: 0, Items: []int{0}}, {Step: 1, Items: []int{0}}}
	steps[1].Slots = 100
	must.Eq(t, noneSpare, Admit(steps))
	steps[1].Slots, steps[1].Waiting[0].HasBegun, steps[1].Waiting[1].HasBegun = 1, true, true
	must.Eq(t, noneSpare, Admit(steps))
	steps = append(steps, Step{Standing: Standing{ID: "small", Workspace: "small", Deadline: due(99), Waiting: 9}, Slots: 1, Period: 8 * time.Second, Waiting: []WaitingItem{text("d", time.Second)}})
	must.Eq(t, 2, Admit(steps)[0].Step)
}

// TestAdmit_TrainerBehind plays a trainer that is behind on engines without room for all:
// more groups are whole in time than by deadline, and the trainer falls less far behind.
func TestAdmit_TrainerBehind(t *testing.T) {
	for _, slots := range []int{20, 24} {
		inTime, late, before, lateBefore := compareOrders(t, trainerLoad{slots: slots})
		must.Greater(t, before, inTime)
		must.Less(t, lateBefore, late)
	}
	inTime, late, before, lateBefore := compareOrders(t, trainerLoad{slots: 48})
	must.GreaterEq(t, before-0.005, inTime)
	must.LessEq(t, lateBefore, late)
}

// TestAdmit_EnginesLost loses half of the engines for ten seconds, whose texts continue
// elsewhere: the trainer falls less far behind than by deadline.
func TestAdmit_EnginesLost(t *testing.T) {
	inTime, late, before, lateBefore := compareOrders(t, trainerLoad{slots: 26, lostFrom: 20, lostSlots: 13})
	must.Less(t, lateBefore, late)
	must.GreaterEq(t, before-0.02, inTime)
}

// compareOrders plays a load with Admit and by deadline, and returns the means.
func compareOrders(t *testing.T, load trainerLoad) (inTime float64, late time.Duration, before float64, lateBefore time.Duration) {
	const plays = 8
	for seed := range int64(plays) {
		share, behind := load.play(seed, Admit)
		shareBefore, behindBefore := load.play(seed, byDeadline)
		inTime, late = inTime+share/plays, late+behind/plays
		before, lateBefore = before+shareBefore/plays, lateBefore+behindBefore/plays
	}
	t.Logf("%+v: in time %.3f, by deadline %.3f; behind %v, by deadline %v", load, inTime, before, late, lateBefore)
	return inTime, late, before, lateBefore
}
