package chivetime

import (
	"encoding/xml"
	"fmt"
	"io"
	"sort"
)

// Dimensions of the chart in SVG user units.
const (
	chartWidth = 1200
	// labelWidth is the width of the process names at the left.
	labelWidth = 160
	rowHeight  = 22
	dotRadius  = 4
)

// kindColors holds the colors of the dots by the kind of event.
var kindColors = map[string]string{
	"request": "#4477aa", "config": "#228833", "leave": "#ccbb44", "cold": "#66ccee", "order": "#aa3377", "store": "#ee6677", "lease": "#bbbbbb",
}

// svg is the root element of the chart. svgText, svgLine and svgDot are its child
// elements.
type svg struct {
	XMLName xml.Name  `xml:"http://www.w3.org/2000/svg svg"`
	Width   int       `xml:"width,attr"`
	Height  int       `xml:"height,attr"`
	Font    string    `xml:"font-family,attr"`
	Size    int       `xml:"font-size,attr"`
	Lines   []svgLine `xml:"line"`
	Texts   []svgText `xml:"text"`
	Dots    []svgDot  `xml:"circle"`
}

type svgText struct {
	X    int    `xml:"x,attr"`
	Y    int    `xml:"y,attr"`
	Text string `xml:",chardata"`
}

type svgLine struct {
	X1     int    `xml:"x1,attr"`
	Y1     int    `xml:"y1,attr"`
	X2     int    `xml:"x2,attr"`
	Y2     int    `xml:"y2,attr"`
	Stroke string `xml:"stroke,attr"`
}

type svgDot struct {
	X     float64 `xml:"cx,attr"`
	Y     int     `xml:"cy,attr"`
	R     int     `xml:"r,attr"`
	Fill  string  `xml:"fill,attr"`
	Title string  `xml:"title"`
}

// WriteSVG writes a chart of events, which must be ordered by time, as SVG. Each
// process has a row, time runs from left to right, and each event is a dot with its
// text as a tooltip.
func WriteSVG(w io.Writer, events []Event) error {
	rows := processRows(events)
	chart := &svg{Width: chartWidth, Height: (len(rows) + 2) * rowHeight, Font: "sans-serif", Size: 11}
	for name, row := range rows {
		y := (row + 1) * rowHeight
		chart.Texts = append(chart.Texts, svgText{X: 4, Y: y + dotRadius, Text: name})
		chart.Lines = append(chart.Lines, svgLine{X1: labelWidth, Y1: y, X2: chartWidth, Y2: y, Stroke: "#dddddd"})
	}
	sort.Slice(chart.Texts, func(i, j int) bool { return chart.Texts[i].Y < chart.Texts[j].Y })
	sort.Slice(chart.Lines, func(i, j int) bool { return chart.Lines[i].Y1 < chart.Lines[j].Y1 })
	chart.Dots = eventDots(events, rows)
	if len(events) > 0 {
		seconds := float64(events[len(events)-1].Timestamp.Wall-events[0].Timestamp.Wall) / 1e9
		chart.Texts = append(chart.Texts, svgText{X: labelWidth, Y: (len(rows) + 1) * rowHeight, Text: fmt.Sprintf("%.3f s in all", seconds)})
	}
	_, err := io.WriteString(w, xml.Header)
	if err != nil {
		return err
	}
	return xml.NewEncoder(w).Encode(chart)
}

// processRows returns the row of each process, from 0, in the order of the names.
func processRows(events []Event) map[string]int {
	rows := map[string]int{}
	var names []string
	for _, e := range events {
		if _, ok := rows[e.Process]; !ok {
			rows[e.Process] = 0
			names = append(names, e.Process)
		}
	}
	sort.Strings(names)
	for i, n := range names {
		rows[n] = i
	}
	return rows
}

// eventDots returns the dots of the events. Kinds without a color are gray.
func eventDots(events []Event, rows map[string]int) []svgDot {
	list := make([]svgDot, 0, len(events))
	for _, e := range events {
		first, last := events[0].Timestamp.Wall, events[len(events)-1].Timestamp.Wall
		position := float64(e.Timestamp.Wall-first) / float64(max(last-first, 1))
		color, ok := kindColors[e.Kind]
		if !ok {
			color = "#888888"
		}
		list = append(list, svgDot{
			X: labelWidth + dotRadius + position*(chartWidth-labelWidth-2*dotRadius),
			Y: (rows[e.Process] + 1) * rowHeight, R: dotRadius, Fill: color,
			Title: fmt.Sprintf("%s %s %s: %s", e.Process, e.Kind, e.Subject, e.Text),
		})
	}
	return list
}
