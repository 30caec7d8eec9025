// Package chivemeasure implements the measurements of chiveyoke-measure. Some simulate
// a policy, the others run a fleet of real processes.
package chivemeasure

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
)

// Error is the class of errors of this package.
var Error = errs.Class("measure")

// clockTicksPerSecond is the resolution in which /proc reports processor time.
const clockTicksPerSecond = 100

// usage holds the resources that a process used until a time.
type usage struct {
	readAt  time.Time
	cpuTime time.Duration
	// residentBytes is the resident memory.
	residentBytes int64
	// bytes and packets count the UDP payload sent to and received from other processes.
	bytes   float64
	packets float64
}

// readUsage reads the usage of a process from /proc and from the metrics at its admin
// address.
func readUsage(ctx context.Context, p *chiveharness.Process, admin string) (usage, error) {
	u := usage{readAt: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return u, Error.Wrap(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	// Indexes of the fields after the command name.
	const userField, systemField, residentField = 11, 12, 21
	for _, i := range []int{userField, systemField} {
		ticks, _ := strconv.ParseInt(fields[i], 10, 64)
		u.cpuTime += time.Duration(ticks) * time.Second / clockTicksPerSecond
	}
	pages, _ := strconv.ParseInt(fields[residentField], 10, 64)
	u.residentBytes = pages * int64(os.Getpagesize())
	values, err := readMetrics(ctx, admin)
	if err != nil {
		return u, err
	}
	u.bytes = values["chiveyoke_link_sent_bytes"] + values["chiveyoke_link_received_bytes"]
	u.packets = values["chiveyoke_link_sent_packets"] + values["chiveyoke_link_received_packets"]
	return u, nil
}

// readMetrics reads the metrics of a process that have no labels, by name.
func readMetrics(ctx context.Context, admin string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	values := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values, Error.Wrap(lines.Err())
}

// usageRate holds the resources that a process uses per second, and its memory.
type usageRate struct {
	// cores is the processor time per second.
	cores         float64
	bytes         float64
	packets       float64
	residentBytes float64
}

// newUsageRate returns the rate between two readings. The memory is taken from after.
func newUsageRate(before, after usage) usageRate {
	seconds := after.readAt.Sub(before.readAt).Seconds()
	return usageRate{
		cores:         (after.cpuTime - before.cpuTime).Seconds() / seconds,
		bytes:         (after.bytes - before.bytes) / seconds,
		packets:       (after.packets - before.packets) / seconds,
		residentBytes: float64(after.residentBytes),
	}
}
