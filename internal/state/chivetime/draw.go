package chivetime

import (
	"encoding/xml"
	"fmt"
	"io"
	"sort"
)

// The measures of a picture, in SVG units.
const (
	pictureWidth  = 1200
	pictureMargin = 160
	rowHeight     = 22
	dotRadius     = 4
)

var colors = map[string]string{
	"request": "#4477aa", "config": "#228833", "leave": "#ccbb44", "cold": "#66ccee", "order": "#aa3377", "store": "#ee6677", "lease": "#bbbbbb",
}

// svg, svgText, svgLine and svgDot are the elements of a picture.
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

// WriteSVG writes a picture of events in SVG: a row for each process, time from
// left to right, and the text of an event where the pointer rests on it.
func WriteSVG(w io.Writer, events []Event) error {
	rows := processRows(events)
	p := &svg{Width: pictureWidth, Height: (len(rows) + 2) * rowHeight, Font: "sans-serif", Size: 11}
	for name, row := range rows {
		y := (row + 1) * rowHeight
		p.Texts = append(p.Texts, svgText{X: 4, Y: y + dotRadius, Text: name})
		p.Lines = append(p.Lines, svgLine{X1: pictureMargin, Y1: y, X2: pictureWidth, Y2: y, Stroke: "#dddddd"})
	}
	sort.Slice(p.Texts, func(i, j int) bool { return p.Texts[i].Y < p.Texts[j].Y })
	sort.Slice(p.Lines, func(i, j int) bool { return p.Lines[i].Y1 < p.Lines[j].Y1 })
	p.Dots = dots(events, rows)
	if len(events) > 0 {
		span := float64(events[len(events)-1].Timestamp.Wall-events[0].Timestamp.Wall) / 1e9
		p.Texts = append(p.Texts, svgText{X: pictureMargin, Y: (len(rows) + 1) * rowHeight, Text: fmt.Sprintf("%.3f s in all", span)})
	}
	_, err := io.WriteString(w, xml.Header)
	if err != nil {
		return err
	}
	return xml.NewEncoder(w).Encode(p)
}

// processRows numbers the processes in the order of their names.
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

func dots(events []Event, rows map[string]int) []svgDot {
	list := make([]svgDot, 0, len(events))
	for _, e := range events {
		first, last := events[0].Timestamp.Wall, events[len(events)-1].Timestamp.Wall
		place := float64(e.Timestamp.Wall-first) / float64(max(last-first, 1))
		color, ok := colors[e.Kind]
		if !ok {
			color = "#888888"
		}
		list = append(list, svgDot{
			X: pictureMargin + dotRadius + place*(pictureWidth-pictureMargin-2*dotRadius),
			Y: (rows[e.Process] + 1) * rowHeight, R: dotRadius, Fill: color,
			Title: fmt.Sprintf("%s %s %s: %s", e.Process, e.Kind, e.Subject, e.Text),
		})
	}
	return list
}
