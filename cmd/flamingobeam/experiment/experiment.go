// Package experiment compares the algorithms of package coord with baselines.
// Time is simulated and the seeds are fixed, so that every run gives the same
// figures.
package experiment

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Way is one variant of an algorithm and its figures.
type Way struct {
	Name    string   `json:"name"`
	Figures []Figure `json:"figures"`
}

// Result is the outcome of an experiment.
type Result struct {
	Name string `json:"name"`
	Ways []Way  `json:"ways"`
}

// All returns the experiments by name.
func All() map[string]func() Result {
	return map[string]func() Result{"routing": Routing, "classes": Classes, "shares": Shares, "limit": Limit}
}

// Text formats a result as a table.
func (r *Result) Text() string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, strings.ToUpper(r.Name))
	for _, figure := range r.Ways[0].Figures {
		fmt.Fprintf(table, "\t%s", figure.Name)
	}
	fmt.Fprintln(table)
	for _, way := range r.Ways {
		fmt.Fprint(table, way.Name)
		for _, figure := range way.Figures {
			fmt.Fprintf(table, "\t%.2f", figure.Value)
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
	return strings.TrimRight(text.String(), "\n")
}

const (
	nanosPerMilli     = 1e6
	significantDigits = 3
)

// epoch is the start of simulated time.
var epoch = time.Unix(0, 0)

// orderedEvent is an event of a simulation, ordered by time.
type orderedEvent[T any] interface{ before(other T) bool }

// eventQueue is a priority queue of events with the earliest one first. It
// implements heap.Interface.
type eventQueue[T orderedEvent[T]] struct{ events []T }

func (q *eventQueue[T]) first() T { return q.events[0] }

// Len implements heap.Interface.
func (q *eventQueue[T]) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue[T]) Less(i, j int) bool { return q.events[i].before(q.events[j]) }

// Swap implements heap.Interface.
func (q *eventQueue[T]) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue[T]) Push(event any) { q.events = append(q.events, event.(T)) }

// Pop implements heap.Interface.
func (q *eventQueue[T]) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
