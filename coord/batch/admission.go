package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// startBands is the number of bands into which the time of a step is divided. Items whose
	// latest starts are in one band are equally urgent.
	startBands = 16
	// crowdedShare is the part of a step's time that the waiting items may take to start.
	// Beyond it, items of groups that the trainer does not need hold up those that it needs.
	crowdedShare = 0.3
)

// WaitingItem is an item that waits for an engine.
type WaitingItem struct {
	Group string
	// Needed is the time that the item is expected to run.
	Needed time.Duration
	// HasBegun is set if an item of the group has run, in this step or an earlier one.
	HasBegun bool
}

// Step is an open job with the items that wait for an engine.
type Step struct {
	Standing
	// Service has the engines, and Slots is the number of items that those which may run
	// this step take at once.
	Service structs.ServiceName
	Slots   int
	// Period is the time from the submission to the deadline.
	Period time.Duration
	// SpareGroups is the number of groups that the trainer does not wait for.
	SpareGroups int
	Waiting     []WaitingItem
}

// Portion is a part of the items of a step that get engines together.
type Portion struct {
	// Step is the index of the step, and Items are indices into its waiting items.
	Step  int
	Items []int
	// IsSpare is set for items of groups that the trainer does not wait for and that go
	// last because the engines are crowded.
	IsSpare bool
}

// claim is an item's claim to an engine.
type claim struct {
	step, item int
	isStarved  bool
	isSpare    bool
	// latestStart is the band of the time at which the item must start to end by the
	// deadline.
	latestStart int64
	// position is the place of the step in Order.
	position int
	needed   time.Duration
}

// Admit divides the waiting items of open steps into portions, in the order in which they
// get the engines that come free. It answers the load of trainers that are behind, whose
// steps follow each other at once: more items than the engines have room for, of which a
// few need many times as long as the others.
//
// A step ends with its longest text, so an item goes by the time at which it must start,
// and a long one of a later step goes before a short one of an earlier step that has time
// to spare. While engines are crowded, groups that the trainer does not wait for go last,
// unless they have begun; otherwise they run, as it is not known which groups end first. A
// workspace that is starved goes first, as in Order.
func Admit(steps []Step) []Portion {
	positions, starved := positionsOf(steps)
	width, queued := bandWidth(steps), queuedWork(steps)
	var claims []claim
	for s := range steps {
		step := &steps[s]
		var spare map[string]bool
		if queued[step.Service] > time.Duration(crowdedShare*float64(step.Period)*float64(step.Slots)) {
			spare = spareGroups(step)
		}
		for i := range step.Waiting {
			it := &step.Waiting[i]
			claims = append(claims, claim{
				step: s, item: i, isStarved: starved[step.Workspace], isSpare: spare[it.Group],
				latestStart: step.Deadline.Add(-it.Needed).UnixNano() / int64(width),
				position:    positions[step.ID], needed: it.Needed,
			})
		}
	}
	slices.SortStableFunc(claims, compareClaims)
	var portions []Portion
	for _, c := range claims {
		if last := len(portions) - 1; last < 0 || portions[last].Step != c.step || portions[last].IsSpare != c.isSpare {
			portions = append(portions, Portion{Step: c.step, IsSpare: c.isSpare})
		}
		last := &portions[len(portions)-1]
		last.Items = append(last.Items, c.item)
	}
	return portions
}

func compareClaims(a, b claim) int {
	return cmp.Or(
		compareFlags(b.isStarved, a.isStarved), compareFlags(a.isSpare, b.isSpare),
		cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.position, b.position), cmp.Compare(b.needed, a.needed),
	)
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// positionsOf returns the places of the steps in Order, and the workspaces that are starved.
func positionsOf(steps []Step) (map[string]int, map[structs.WorkspaceName]bool) {
	standings := make([]Standing, len(steps))
	for i := range steps {
		standings[i] = steps[i].Standing
	}
	starved := starvedWorkspaces(standings)
	Order(standings)
	positions := make(map[string]int, len(standings))
	for i, standing := range standings {
		positions[standing.ID] = i
	}
	return positions, starved
}

// bandWidth returns the width of a band: a fraction of the shortest time of a step.
func bandWidth(steps []Step) time.Duration {
	shortest := time.Duration(0)
	for i := range steps {
		if period := steps[i].Period; period > 0 && (shortest == 0 || period < shortest) {
			shortest = period
		}
	}
	return max(time.Millisecond, shortest/startBands)
}

// queuedWork returns the time that the waiting items of each service need.
func queuedWork(steps []Step) map[structs.ServiceName]time.Duration {
	work := make(map[structs.ServiceName]time.Duration)
	for i := range steps {
		for _, it := range steps[i].Waiting {
			work[steps[i].Service] += it.Needed
		}
	}
	return work
}

// spareGroups returns the groups of a step that the trainer need not wait for: of those that
// have not begun, the ones that are expected to end last.
func spareGroups(step *Step) map[string]bool {
	if step.SpareGroups <= 0 {
		return nil
	}
	longest := make(map[string]time.Duration)
	begun := make(map[string]bool)
	for i := range step.Waiting {
		it := &step.Waiting[i]
		longest[it.Group] = max(longest[it.Group], it.Needed)
		begun[it.Group] = begun[it.Group] || it.HasBegun
	}
	var groups []string
	for group := range longest {
		if !begun[group] {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(a, b string) int {
		return cmp.Or(cmp.Compare(longest[b], longest[a]), cmp.Compare(a, b))
	})
	spare := make(map[string]bool, step.SpareGroups)
	for _, group := range groups[:min(len(groups), step.SpareGroups)] {
		spare[group] = true
	}
	return spare
}
