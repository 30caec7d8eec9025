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
	// zoneOutAt and zoneInAt are the times after the start of a run at which the zone is
	// taken out and in, zoneEndAt the time at which the run ends.
	zoneOutAt = 6 * time.Second
	zoneInAt  = 14 * time.Second
	zoneEndAt = 30 * time.Second
	// lateThreshold is the time to the first token above which an answer is late.
	lateThreshold = 1200 * time.Millisecond
	plotWidth     = 18 * vg.Centimeter
	plotHeight    = 8 * vg.Centimeter
)

// zoneMethod is a method to take a zone out and in.
type zoneMethod struct {
	name string
	// naive kills the agents of the zone, and lets its endpoints return without slow
	// start.
	naive bool
	// color is the color of the method in plots.
	color color.Color
}

var zoneMethods = []zoneMethod{
	{"chiveyoke", false, color.RGBA{G: 0x88, B: 0x33, A: 0xff}},
	{"naive", true, color.RGBA{R: 0xcc, B: 0x33, A: 0xff}},
}

// zoneResult holds the results of one run.
type zoneResult struct {
	audit     *chiveharness.Audit
	records   []*chiveharness.Record
	startedAt time.Time
	// late counts the generation requests whose wait time exceeds lateThreshold.
	late int
	// overloads counts the requests that exceeded the capacity of an engine.
	overloads int
	// recoveryTime is the time after the return of the zone until the p95 of the time to
	// the first token stays within twice its highest value before the zone was taken out.
	recoveryTime time.Duration
}

// Zones takes a zone out and in under load in both example deployments. It compares
// this with killing the zone's agents and returning its endpoints without slow start,
// and writes a table to out and a plot for each deployment.
func Zones(ctx context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# A zone leaves and returns\n\n%d callers send one request after another; the first zone leaves at %v and returns at %v with all its engines cold. Late: first token after more than %v. "+
		"Naive: the zone's agents are killed, and its endpoints return at full weight.\n\n", zoneCallers, zoneOutAt, zoneInAt, lateThreshold)
	_, _ = fmt.Fprintln(out, "| deployment | way | sent | served | came back | refused | unknown | late | doubled | crossed | overloads | first token p50 | p95 | p95 settled after |")
	_, _ = fmt.Fprintln(out, "|--|--|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	for i, name := range []string{"ferraro", "ozolkalns"} {
		p := newZonePlot(name)
		for _, method := range zoneMethods {
			r, err := runZone(ctx, s, name, i+1, method)
			if err != nil {
				return err
			}
			a := r.audit
			_, _ = fmt.Fprintf(out, "| %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %v | %v | %v |\n", name, method.name, a.Sent, a.Served, a.Retries, a.Refused, a.Unknown, r.late, a.Duplicated, a.Mismatched, r.overloads,
				chiveharness.Quantile(a.FirstTokenTimes, 0.5).Round(time.Millisecond), chiveharness.Quantile(a.FirstTokenTimes, 0.95).Round(time.Millisecond), r.recoveryTime)
			if err := addZoneLine(p, method, r); err != nil {
				return err
			}
		}
		path := filepath.Join(s.OutputDir, "zones-"+name+".svg")
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
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

// addZoneLine adds the line of a method to a plot.
func addZoneLine(p *plot.Plot, method zoneMethod, r *zoneResult) error {
	var points plotter.XYs
	for second, v := range r.firstTokenP95() {
		points = append(points, plotter.XY{X: float64(second), Y: float64(v.Milliseconds())})
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return Error.Wrap(err)
	}
	l.Color = method.color
	p.Add(l)
	p.Legend.Add(method.name, l)
	return nil
}

// firstTokenP95 returns the p95 of the time to the first token by the second in which
// chat requests were sent. A request that was not served counts with the total time
// that its caller spent on it.
func (r *zoneResult) firstTokenP95() []time.Duration {
	waitsBySecond := make([][]time.Duration, int(zoneEndAt/time.Second))
	for _, rec := range r.records {
		second := int(rec.StartedAt.Sub(r.startedAt) / time.Second)
		if second < 0 || second >= len(waitsBySecond) || rec.Kind != chiveharness.KindChat {
			continue
		}
		waitsBySecond[second] = append(waitsBySecond[second], rec.WaitTime())
	}
	p95 := make([]time.Duration, len(waitsBySecond))
	for i, waits := range waitsBySecond {
		chiveharness.SortDurations(waits)
		p95[i] = chiveharness.Quantile(waits, 0.95)
	}
	return p95
}

// runZone runs an example deployment under load with one method. The number of the
// deployment varies the seed.
func runZone(ctx context.Context, s Settings, name string, number int, method zoneMethod) (*zoneResult, error) {
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
	settings := chiveharness.Settings{Sheet: raw, Net: chiveharness.SheetNet(sheet), Gateways: zoneGateways, Bin: s.BinDir, Dir: dir, AddressLifetime: time.Second, StepTime: 20 * time.Millisecond, PlanInterval: time.Hour}
	if method.naive {
		settings.Sheet, settings.StandInSheet = withoutSlowStart(raw), raw
	}
	fleet, err := chiveharness.Start(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer fleet.Kill()
	load := fleet.StartLoad(ctx, chiveharness.LoadSettings{Callers: zoneCallers, MinTokens: 10, MaxTokens: 40, RetryWindow: 10 * time.Second, OrderFraction: 0.1, Seed: s.Seed + uint64(number)})
	r := &zoneResult{startedAt: time.Now()}
	if err := r.takeZoneOutAndIn(ctx, fleet, method); err != nil {
		return nil, err
	}
	r.records = load.Stop()
	report, err := fleet.Report()
	if err != nil {
		return nil, err
	}
	r.summarize(report)
	return r, nil
}

// withoutSlowStart returns a copy of a sheet in which the cold limit of endpoints is
// raised from 4 to their full limit of 32 requests.
func withoutSlowStart(raw []byte) []byte {
	raw = bytes.ReplaceAll(raw, []byte(";4;32;"), []byte(";32;32;"))
	return bytes.ReplaceAll(raw, []byte(",4,32,"), []byte(",32,32,"))
}

// takeZoneOutAndIn takes the first zone out and in at the times of the run, and returns
// at its end.
func (r *zoneResult) takeZoneOutAndIn(ctx context.Context, f *chiveharness.Fleet, method zoneMethod) error {
	zone := f.Sheet.Zones[0].Name
	if err := sleep(ctx, zoneOutAt); err != nil {
		return err
	}
	if err := takeZoneOut(ctx, f, zone, method); err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(r.startedAt.Add(zoneInAt))); err != nil {
		return err
	}
	if err := takeZoneIn(ctx, f, zone, method); err != nil {
		return err
	}
	return sleep(ctx, time.Until(r.startedAt.Add(zoneEndAt)))
}

// takeZoneOut takes a zone out by a change, or kills its agents.
func takeZoneOut(ctx context.Context, f *chiveharness.Fleet, zone string, method zoneMethod) error {
	if !method.naive {
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

// takeZoneIn restarts the engines of a zone and takes it in by a change, or restarts its
// agents.
func takeZoneIn(ctx context.Context, f *chiveharness.Fleet, zone string, method zoneMethod) error {
	for _, e := range f.Sheet.Endpoints {
		if e.Zone != zone {
			continue
		}
		if method.naive {
			if err := f.Restart(e.Name); err != nil {
				return err
			}
		}
		if _, isService := f.Sheet.Service(e.Group); isService {
			continue
		}
		if err := f.InjectFault(chivestandin.Fault{Target: e.Name, Kind: chivestandin.KindRestart}); err != nil {
			return err
		}
	}
	if method.naive {
		return nil
	}
	_, err := f.Operator().Change(ctx, chiveharness.NewChange(chiveconf.KindZoneIn, zone, 2))
	return Error.Wrap(err)
}

// summarize computes the results from the records and the report of the stand-ins.
func (r *zoneResult) summarize(report *chivestandin.Report) {
	r.audit = chiveharness.NewAudit(r.records, report)
	for _, e := range report.Engines {
		r.overloads += e.Overloads
	}
	for _, rec := range r.records {
		if rec.Kind == chiveharness.KindChat && rec.WaitTime() > lateThreshold {
			r.late++
		}
	}
	p95 := r.firstTokenP95()
	highestBefore := time.Duration(0)
	for _, v := range p95[2 : zoneOutAt/time.Second] {
		highestBefore = max(highestBefore, v)
	}
	for i := int(zoneInAt / time.Second); i < len(p95); i++ {
		if p95[i] > 2*highestBefore {
			r.recoveryTime = time.Duration(i+1)*time.Second - zoneInAt
		}
	}
}
