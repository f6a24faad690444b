// Package experiment measures the decisions of coord against their baselines.
// Time is simulated and the seeds are fixed, so that a run gives the same
// figures each time.
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

// Way is one way of deciding and what it came to.
type Way struct {
	Name    string   `json:"name"`
	Figures []Figure `json:"figures"`
}

// Result is the outcome of an experiment.
type Result struct {
	Name string `json:"name"`
	Ways []Way  `json:"ways"`
}

// All lists the experiments by name.
func All() map[string]func() Result {
	return map[string]func() Result{"routing": Routing, "classes": Classes, "shares": Shares, "limit": Limit}
}

// Text lays a result out as a table.
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

var epoch = time.Unix(0, 0)

// ordered is an event of a simulation.
type ordered[T any] interface{ before(other T) bool }

// queue holds events, the first one on top; it implements heap.Interface.
type queue[T ordered[T]] struct{ events []T }

func (q *queue[T]) first() T { return q.events[0] }

// Len is part of heap.Interface.
func (q *queue[T]) Len() int { return len(q.events) }

// Less is part of heap.Interface.
func (q *queue[T]) Less(i, j int) bool { return q.events[i].before(q.events[j]) }

// Swap is part of heap.Interface.
func (q *queue[T]) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push is part of heap.Interface.
func (q *queue[T]) Push(event any) { q.events = append(q.events, event.(T)) }

// Pop is part of heap.Interface.
func (q *queue[T]) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
