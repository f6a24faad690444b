package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/flamingobeam/flamingobeam/coord/burn"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// minPlottedRate replaces lower rates, because the axis is logarithmic.
	minPlottedRate = 0.01
)

// plotBurn plots the burn rate of each workspace and class over the length of the
// window. The extension of the path selects the image format.
func plotBurn(report burn.Report, path string) error {
	p := plot.New()
	p.Title.Text = "Burn rate of the error budgets"
	p.X.Label.Text = "window, hours"
	p.Y.Label.Text = "burn rate"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	lines := []any{"sustainable rate", sustainableRateLine()}
	for i := range report.Rows {
		row := &report.Rows[i]
		lines = append(lines, fmt.Sprintf("%s %s", row.Workspace, row.Class), rowLine(row))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// sustainableRateLine is the burn rate of 1, at which the error budget lasts
// exactly for the period.
func sustainableRateLine() plotter.XYs {
	alarms := burn.Alarms()
	return plotter.XYs{
		{X: alarms[0].Short.Hours(), Y: 1},
		{X: alarms[len(alarms)-1].Long.Hours(), Y: 1},
	}
}

const secondsPerHour = 3600

func rowLine(row *burn.Row) plotter.XYs {
	var shorts, longs plotter.XYs
	for _, alarm := range row.Alarms {
		shorts = append(shorts, newPoint(alarm.Short))
		longs = append(longs, newPoint(alarm.Long))
	}
	// The points must be in ascending order of the window: the short windows of
	// the first two alarms, then the long ones.
	return plotter.XYs{shorts[0], shorts[1], longs[0], longs[1], longs[2]}
}

func newPoint(window burn.Window) plotter.XY {
	return plotter.XY{X: window.Seconds / secondsPerHour, Y: max(window.Rate, minPlottedRate)}
}
