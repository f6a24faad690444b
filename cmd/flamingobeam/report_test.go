package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/burn"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func TestReportBurn_SavedReport(t *testing.T) {
	var series burn.Series
	now := time.Unix(1_700_000_000, 0)
	series.AddCount(now, burn.Count{Good: 90, Bad: 10})
	row := burn.NewRow(now, "assessor", structs.ClassLookup, 0.999, &series)
	saved, err := json.Marshal(burn.Report{At: now, Rows: []burn.Row{row}})
	must.NoError(t, err)
	folder := t.TempDir()
	from, svg, png := filepath.Join(folder, "run.json"), filepath.Join(folder, "burn.svg"), filepath.Join(folder, "burn.png")
	must.NoError(t, os.WriteFile(from, saved, 0o600))
	for _, path := range []string{svg, png} {
		out := &bytes.Buffer{}
		app := command()
		app.Writer = out
		must.NoError(t, app.Run(t.Context(), []string{"flamingobeam", "report", "slo-burn", "--from", from, "--plot", path}))
		must.StrContains(t, out.String(), "100.00/100.00 ALARM")
		must.StrContains(t, out.String(), "spent")
	}
	image, err := os.ReadFile(svg)
	must.NoError(t, err)
	must.True(t, strings.Contains(string(image), "assessor lookup"))
	image, err = os.ReadFile(png)
	must.NoError(t, err)
	must.True(t, bytes.HasPrefix(image, []byte("\x89PNG")))

	out := &bytes.Buffer{}
	app := command()
	app.Writer = out
	must.NoError(t, app.Run(t.Context(), []string{"flamingobeam", "report", "slo-burn", "--from", from, "--output", "json"}))
	var decoded burn.Report
	must.NoError(t, json.Unmarshal(out.Bytes(), &decoded))
	must.Eq(t, row, decoded.Rows[0])
}

func FuzzParseBurn(f *testing.F) {
	f.Add([]byte(`{"rows": [{"workspace": "a", "class": "lookup", "objective": 0.9, "alarms": [{"short": {"seconds": 300, "good": 1, "bad": 2}}]}]}`))
	f.Add([]byte(`{"rows": [{"class": "lookup", "objective": 1}]}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		report, err := parseBurnReport(source)
		if err != nil {
			return
		}
		merged := burn.Merge([]burn.Report{report, report})
		must.NotEq(t, "", formatBurnReport(merged))
		encoded, err := json.Marshal(merged)
		must.NoError(t, err)
		_, err = parseBurnReport(encoded)
		must.NoError(t, err)
	})
}
