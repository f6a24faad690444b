package scaling

import (
	"math"
	"time"
)

const (
	// stepShare is the share of the due time in which the servers generate the steps of
	// all models if these come at once. The rest is for the longest texts, for texts that
	// are resumed elsewhere and for the rewards.
	stepShare = 0.4
	// maxUtilization is the mean utilization of the slots. Above it steps wait for the
	// one before them.
	maxUtilization = 0.7
	// The floors hold after all reclaimable servers of a zone have left: steps are still
	// whole when they are due, without time to spare.
	stepShareFloor      = 0.7
	maxUtilizationFloor = 0.9
)

// Need is the number of servers that the work needs.
type Need struct {
	// Servers is the number for steps in time, and Floor the lowest that carries the
	// steps while servers are lost.
	Servers, Floor int
}

// needOf returns the servers that a demand needs, with a number of slots each. Serving
// is how many serve now: they work off the open items until further ones have started.
func needOf(demand Demand, slots, serving int, bootTime time.Duration) Need {
	if demand.Due <= 0 {
		return Need{}
	}
	due, step := float64(demand.Due), float64(demand.StepWork)
	wanted := max(step/(stepShare*due), demand.Rate/maxUtilization)
	floor := max(step/(stepShareFloor*due), demand.Rate/maxUtilizationFloor)
	backlog := float64(demand.Open) - float64(serving*slots)*float64(bootTime)
	if backlog > 0 {
		wanted = max(wanted, backlog/max(float64(bootTime), due-float64(bootTime)))
	}
	return Need{Servers: serversFor(wanted, slots), Floor: serversFor(floor, slots)}
}

func serversFor(busySlots float64, slots int) int {
	return int(math.Ceil(busySlots / float64(max(1, slots))))
}

// needHistory returns the highest need of the last time, so that a lull between steps takes
// no server away.
type needHistory struct {
	// memory is how long a need counts.
	memory time.Duration
	// falling holds needs in the order of their times, each higher than all later ones.
	falling []timedNeed
}

type timedNeed struct {
	need Need
	at   time.Time
}

// add adds the need at a time and returns the highest one. The memory follows the due
// time, if that is known.
func (h *needHistory) add(need Need, due time.Duration, now time.Time) Need {
	if due > 0 || h.memory == 0 {
		h.memory = MemoryOf(due)
	}
	for len(h.falling) > 0 && h.falling[len(h.falling)-1].need.Servers <= need.Servers {
		h.falling = h.falling[:len(h.falling)-1]
	}
	h.falling = append(h.falling, timedNeed{need, now})
	for now.Sub(h.falling[0].at) > h.memory {
		h.falling = h.falling[1:]
	}
	return h.falling[0].need
}
