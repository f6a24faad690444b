package load

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Difference is one figure of two reports.
type Difference struct {
	Name   string  `json:"name"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Compare lists the figures of the totals and the latencies of the streams of
// two reports side by side, in order of their names.
func Compare(before, after Report) ([]Difference, error) {
	was, err := figures(before)
	if err != nil {
		return nil, err
	}
	is, err := figures(after)
	if err != nil {
		return nil, err
	}
	var names []string
	for name := range is {
		if _, ok := was[name]; ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	differences := make([]Difference, 0, len(names))
	for _, name := range names {
		differences = append(differences, Difference{Name: name, Before: was[name], After: is[name]})
	}
	return differences, nil
}

func figures(report Report) (map[string]float64, error) {
	encoded, err := json.Marshal(report.Totals)
	if err != nil {
		return nil, errors.Wrap(err, "totals")
	}
	all := make(map[string]float64)
	if err := json.Unmarshal(encoded, &all); err != nil {
		return nil, errors.Wrap(err, "totals")
	}
	for name, stream := range report.Streams {
		all[name+" p50 ms"] = stream.P50
		all[name+" p99 ms"] = stream.P99
		all[name+" max ms"] = stream.Max
	}
	return all, nil
}
