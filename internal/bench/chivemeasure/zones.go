package chivemeasure

import (
	"bytes"
	"context"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
	"github.com/chiveyoke/chiveyoke/internal/bench/chivestandin"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

const (
	zoneGateways = 7
	zoneCallers  = 60
	// zoneOut, zoneIn and zoneEnd are the times of a run at which the zone leaves
	// and returns and the run ends.
	zoneOut = 6 * time.Second
	zoneIn  = 14 * time.Second
	zoneEnd = 30 * time.Second
	// lateAfter is the time to the first token beyond which an answer is late.
	lateAfter = 1200 * time.Millisecond
	plotWidth = 18 * vg.Centimeter
	plotTall  = 8 * vg.Centimeter
)

// zoneWay is a way to take a zone out and in.
type zoneWay struct {
	name string
	// naive drops the zone's processes at once and lets its endpoints return at
	// full weight.
	naive bool
	color color.Color
}

var zoneWays = []zoneWay{
	{"chiveyoke", false, color.RGBA{G: 0x88, B: 0x33, A: 0xff}},
	{"naive", true, color.RGBA{R: 0xcc, B: 0x33, A: 0xff}},
}

// zoneResult is what one run came to.
type zoneResult struct {
	account   *chiveharness.Account
	records   []*chiveharness.Record
	began     time.Time
	late      int
	overloads int
	// recovered is how long after the return the p95 of a second was last above
	// twice its value before.
	recovered time.Duration
}

// Zones takes a zone out and in under load, in both deployments, and compares
// with dropping it at once and returning it at full weight.
func Zones(ctx context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# A zone leaves and returns\n\n%d callers send one request after another; the first zone leaves at %v and returns at %v with all its engines cold. Late: first token after more than %v. "+
		"Naive: the zone's agents are killed, and its endpoints return at full weight.\n\n", zoneCallers, zoneOut, zoneIn, lateAfter)
	_, _ = fmt.Fprintln(out, "| deployment | way | sent | served | came back | refused | unknown | late | doubled | crossed | overloads | first token p50 | p95 | p95 settled after |")
	_, _ = fmt.Fprintln(out, "|--|--|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	for i, name := range []string{"ferraro", "ozolkalns"} {
		p := newZonePlot(name)
		for _, way := range zoneWays {
			r, err := runZone(ctx, s, name, i+1, way)
			if err != nil {
				return err
			}
			a := r.account
			_, _ = fmt.Fprintf(out, "| %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %v | %v | %v |\n", name, way.name, a.Sent, a.Served, a.Returns, a.Refused, a.Unknown, r.late, a.Doubled, a.Crossed, r.overloads,
				chiveharness.Quantile(a.First, 0.5).Round(time.Millisecond), chiveharness.Quantile(a.First, 0.95).Round(time.Millisecond), r.recovered)
			if err := addZoneLine(p, way, r); err != nil {
				return err
			}
		}
		path := filepath.Join(s.OutputDir, "zones-"+name+".svg")
		if err := p.Save(plotWidth, plotTall, path); err != nil {
			return Error.Wrap(err)
		}
		_, _ = fmt.Fprintf(out, "\n![first token over time, %s](zones-%s.svg)\n\n", name, name)
	}
	return nil
}

func newZonePlot(name string) *plot.Plot {
	p := plot.New()
	p.Title.Text = name + ": first token, p95 of each second"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	return p
}

func addZoneLine(p *plot.Plot, way zoneWay, r *zoneResult) error {
	var points plotter.XYs
	for second, v := range r.perSecond() {
		points = append(points, plotter.XY{X: float64(second), Y: float64(v.Milliseconds())})
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return Error.Wrap(err)
	}
	l.Color = way.color
	p.Add(l)
	p.Legend.Add(way.name, l)
	return nil
}

// perSecond returns the p95 of the time to the first token of the requests sent
// in each second. A request that was not served counts with the whole time that
// its caller spent.
func (r *zoneResult) perSecond() []time.Duration {
	bins := make([][]time.Duration, int(zoneEnd/time.Second))
	for _, rec := range r.records {
		second := int(rec.Began.Sub(r.began) / time.Second)
		if second < 0 || second >= len(bins) || rec.Kind != chiveharness.KindChat {
			continue
		}
		bins[second] = append(bins[second], rec.Waited())
	}
	list := make([]time.Duration, len(bins))
	for i, b := range bins {
		chiveharness.SortDurations(b)
		list[i] = chiveharness.Quantile(b, 0.95)
	}
	return list
}

// runZone runs one deployment in one way.
func runZone(ctx context.Context, s Settings, name string, number int, way zoneWay) (*zoneResult, error) {
	raw, err := os.ReadFile(filepath.Join("examples", name, "sheet.csv"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	sheet, err := chivesheet.Parse(raw)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	dir, err := os.MkdirTemp("", "chiveyoke-measure-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	settings := chiveharness.Settings{Sheet: raw, Net: chiveharness.NetOf(sheet), Gateways: zoneGateways, Bin: s.BinDir, Dir: dir, Lifetime: time.Second, Step: 20 * time.Millisecond, Plan: time.Hour}
	if way.naive {
		settings.Sheet, settings.StandIn = fullWeight(raw), raw
	}
	fleet, err := chiveharness.Start(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer fleet.Kill()
	load := fleet.StartLoad(ctx, chiveharness.LoadSettings{Callers: zoneCallers, MinTokens: 10, MaxTokens: 40, Patience: 10 * time.Second, Orders: 0.1, Seed: s.Seed + uint64(number)})
	r := &zoneResult{began: time.Now()}
	if err := r.drive(ctx, fleet, way); err != nil {
		return nil, err
	}
	r.records = load.Stop()
	report, err := fleet.Report()
	if err != nil {
		return nil, err
	}
	r.finish(report)
	return r, nil
}

// fullWeight returns a sheet whose endpoints are taken to bear all from the
// start.
func fullWeight(raw []byte) []byte {
	raw = bytes.ReplaceAll(raw, []byte(";4;32;"), []byte(";32;32;"))
	return bytes.ReplaceAll(raw, []byte(",4,32,"), []byte(",32,32,"))
}

// drive takes the zone out and in.
func (r *zoneResult) drive(ctx context.Context, f *chiveharness.Fleet, way zoneWay) error {
	zone := f.Sheet.Zones[0].Name
	if err := sleep(ctx, zoneOut); err != nil {
		return err
	}
	if err := leave(ctx, f, zone, way); err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(r.began.Add(zoneIn))); err != nil {
		return err
	}
	if err := restore(ctx, f, zone, way); err != nil {
		return err
	}
	return sleep(ctx, time.Until(r.began.Add(zoneEnd)))
}

func leave(ctx context.Context, f *chiveharness.Fleet, zone string, way zoneWay) error {
	if !way.naive {
		_, err := f.Operator().Change(ctx, chiveharness.NewChange(chiveconf.KindZoneOut, zone, 1))
		return Error.Wrap(err)
	}
	for _, e := range f.Sheet.Endpoints {
		if e.Zone == zone {
			f.Processes[e.Name].Kill()
		}
	}
	return nil
}

// restore restarts the zone's engines and takes it in.
func restore(ctx context.Context, f *chiveharness.Fleet, zone string, way zoneWay) error {
	for _, e := range f.Sheet.Endpoints {
		if e.Zone != zone {
			continue
		}
		if way.naive {
			if err := f.Restart(e.Name); err != nil {
				return err
			}
		}
		if _, isService := f.Sheet.Service(e.Group); isService {
			continue
		}
		if err := f.Fault(chivestandin.Fault{Target: e.Name, Kind: chivestandin.KindRestart}); err != nil {
			return err
		}
	}
	if way.naive {
		return nil
	}
	_, err := f.Operator().Change(ctx, chiveharness.NewChange(chiveconf.KindZoneIn, zone, 2))
	return Error.Wrap(err)
}

// finish works the records out.
func (r *zoneResult) finish(report *chivestandin.Report) {
	r.account = chiveharness.NewAccount(r.records, report)
	for _, e := range report.Engines {
		r.overloads += e.Overloads
	}
	for _, rec := range r.records {
		if rec.Kind == chiveharness.KindChat && rec.Waited() > lateAfter {
			r.late++
		}
	}
	seconds := r.perSecond()
	before := time.Duration(0)
	for _, v := range seconds[2 : zoneOut/time.Second] {
		before = max(before, v)
	}
	for i := int(zoneIn / time.Second); i < len(seconds); i++ {
		if seconds[i] > 2*before {
			r.recovered = time.Duration(i+1)*time.Second - zoneIn
		}
	}
}
