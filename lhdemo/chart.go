package lhdemo

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Dimensions of the charts in pixels.
const (
	chartWidth       = 900
	panelHeight      = 180
	panelGap         = 60
	marginLeft       = 60
	marginRight      = 200
	legendLineHeight = 14
	// maxLegendEntries is the maximum number of series in a legend.
	maxLegendEntries = 12
)

var chartColors = []string{
	"#1b6ca8", "#c0392b", "#27864a", "#8e5ea2", "#d98c10", "#3cb4a0",
	"#5d6d7e", "#a04000", "#7d6608", "#2e4053", "#ba4a7e", "#148f77",
}

// panel is a chart with a title.
type panel struct {
	title  string
	series []*Series
}

// WriteSVG draws the timeline as SVG, with a vertical line for each event.
func (r *Report) WriteSVG(w io.Writer) error {
	panels := []panel{
		{"flows ended per second", r.Timeline.EndedFlows},
		{"open flows of each backend server", r.Timeline.OpenFlows},
		{"packets received by each VM per second", r.Timeline.ReceivedPackets},
	}
	d := drawing{points: pointCount(panels), events: r.Events}
	for i, p := range panels {
		d.panel(p, float64(panelGap/2+i*(panelHeight+panelGap)))
	}
	height := len(panels) * (panelHeight + panelGap)
	_, err := fmt.Fprintf(w, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n%s</svg>\n",
		chartWidth, height, d.text.String())
	return err
}

// WriteHTML writes the report as an HTML page with its tables and charts.
func (r *Report) WriteHTML(w io.Writer) error {
	var table strings.Builder
	columns := tabwriter.NewWriter(&table, 0, 0, 2, ' ', 0)
	r.WriteText(columns)
	_ = columns.Flush() // writes to a strings.Builder do not fail
	if _, err := fmt.Fprintf(w, "<!DOCTYPE html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>laburnumhollow load</title>\n<h1>laburnumhollow load</h1>\n<pre>%s</pre>\n", html.EscapeString(table.String())); err != nil {
		return err
	}
	if err := r.WriteSVG(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, "</html>\n")
	return err
}

// pointCount returns the length of the longest series, at least 2.
func pointCount(panels []panel) int {
	longest := 2
	for _, p := range panels {
		for _, s := range p.series {
			longest = max(longest, len(s.Values))
		}
	}
	return longest
}

// drawing builds an SVG document.
type drawing struct {
	text strings.Builder
	// points is the number of values on the time axis; at least 2.
	points int
	events []EventResult
}

// x returns the x coordinate of a value by its index.
func (d *drawing) x(point float64) float64 {
	width := float64(chartWidth - marginLeft - marginRight)
	return marginLeft + width*point/float64(d.points-1)
}

// panel draws a chart whose upper edge is at top.
func (d *drawing) panel(p panel, top float64) {
	yMax := axisMax(p.series)
	bottom := top + panelHeight
	d.label(marginLeft, top-8, "start", p.title)
	fmt.Fprintf(&d.text, "<rect x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#888\"/>\n",
		marginLeft, top, chartWidth-marginLeft-marginRight, panelHeight)
	d.label(marginLeft-4, top+10, "end", fmt.Sprintf("%.0f", yMax))
	d.label(marginLeft-4, bottom, "end", "0")
	d.label(d.x(0), bottom+14, "middle", "0 s")
	last := float64(d.points-1) * samplePeriod.Seconds()
	d.label(d.x(float64(d.points-1)), bottom+14, "middle", fmt.Sprintf("%.1f s", last))
	d.eventLines(top, bottom)
	for i, s := range p.series {
		d.polyline(s, chartColors[i%len(chartColors)], bottom, panelHeight/yMax)
		if i < maxLegendEntries {
			d.legend(s.Name, chartColors[i%len(chartColors)], top+10+float64(i*legendLineHeight))
		}
	}
}

// axisMax returns the upper end of the y axis: the highest value, at least 1.
func axisMax(series []*Series) float64 {
	highest := 1.0
	for _, s := range series {
		for _, v := range s.Values {
			highest = math.Max(highest, v)
		}
	}
	return highest
}

// eventLines draws a vertical line at the time of each event.
func (d *drawing) eventLines(top, bottom float64) {
	for _, e := range d.events {
		x := d.x(float64(e.StartMs) / float64(samplePeriod.Milliseconds()))
		fmt.Fprintf(&d.text, "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"#888\" stroke-dasharray=\"4 3\"/>\n", x, top, x, bottom)
		d.label(x+3, bottom-4, "start", e.Event)
	}
}

func (d *drawing) polyline(s *Series, color string, bottom, scale float64) {
	fmt.Fprintf(&d.text, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"", color)
	for i, v := range s.Values {
		fmt.Fprintf(&d.text, "%.1f,%.1f ", d.x(float64(i)), bottom-v*scale)
	}
	d.text.WriteString("\"/>\n")
}

func (d *drawing) legend(name, color string, y float64) {
	x := float64(chartWidth - marginRight + 10)
	fmt.Fprintf(&d.text, "<rect x=\"%.1f\" y=\"%.1f\" width=\"10\" height=\"3\" fill=\"%s\"/>\n", x, y-5, color)
	d.label(x+15, y, "start", name)
}

func (d *drawing) label(x, y float64, anchor, text string) {
	fmt.Fprintf(&d.text, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, html.EscapeString(text))
}
