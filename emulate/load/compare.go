package load

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Difference is a figure in two reports.
type Difference struct {
	Name   string  `json:"name"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Compare returns the totals and the stream latencies that are in both reports,
// sorted by name.
func Compare(before, after Report) ([]Difference, error) {
	beforeFigures, err := reportFigures(before)
	if err != nil {
		return nil, err
	}
	afterFigures, err := reportFigures(after)
	if err != nil {
		return nil, err
	}
	var names []string
	for name := range afterFigures {
		if _, ok := beforeFigures[name]; ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	differences := make([]Difference, 0, len(names))
	for _, name := range names {
		differences = append(differences, Difference{Name: name, Before: beforeFigures[name], After: afterFigures[name]})
	}
	return differences, nil
}

func reportFigures(report Report) (map[string]float64, error) {
	encoded, err := json.Marshal(report.Totals)
	if err != nil {
		return nil, errors.Wrap(err, "encode totals")
	}
	values := make(map[string]float64)
	if err := json.Unmarshal(encoded, &values); err != nil {
		return nil, errors.Wrap(err, "decode totals")
	}
	for name, stream := range report.Streams {
		values[name+" p50 ms"] = stream.P50
		values[name+" p99 ms"] = stream.P99
		values[name+" max ms"] = stream.Max
	}
	return values, nil
}
