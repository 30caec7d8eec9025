package chivesync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveshard"
)

const (
	// listPeriod is the minimum time between reads of the VM list.
	listPeriod = 3 * time.Second
	// redialDelay is the pause before a lost link is dialed again, and between checks
	// of which gateways to link to.
	redialDelay = 300 * time.Millisecond
	// suspectDuration is how long a gateway is not selected after its link failed.
	suspectDuration = 5 * time.Second
)

// Lister reads the platform's VM list.
type Lister interface {
	List(ctx context.Context) ([]chivevm.VM, error)
}

// Linker keeps sync streams open to a few gateways.
type Linker struct {
	Syncer *Syncer
	Dialer *chivelink.Dialer
	Lister Lister
	// GatewayCount is the number of gateways to keep streams to.
	GatewayCount int

	// listedAt is the time of the last successful read of the VM list.
	listedAt time.Time

	mu  sync.Mutex
	vms []chivevm.VM
	// links holds the functions that cancel the links, by the gateway's address. Only
	// Run uses it.
	links map[string]context.CancelFunc
	// suspectUntil holds the times until which gateways are not selected, by address.
	suspectUntil map[string]time.Time
}

// VMs returns a copy of the list of entry VMs as last read.
func (l *Linker) VMs() []chivevm.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms)
}

// Run reads the VM list and keeps the links until the context ends.
func (l *Linker) Run(ctx context.Context) error {
	l.links = map[string]context.CancelFunc{}
	l.suspectUntil = map[string]time.Time{}
	var links sync.WaitGroup
	defer links.Wait()
	for {
		l.refreshVMs(ctx)
		l.relink(ctx, &links)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(redialDelay):
		}
	}
}

// refreshVMs reads the VM list unless it was read within listPeriod. After a failed
// read the old list stays in use.
func (l *Linker) refreshVMs(ctx context.Context) {
	if time.Since(l.listedAt) < listPeriod {
		return
	}
	list, err := l.Lister.List(ctx)
	if err != nil {
		return
	}
	l.listedAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = list
}

// markSuspect excludes a gateway from selection for suspectDuration.
func (l *Linker) markSuspect(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectUntil[addr] = time.Now().Add(suspectDuration)
}

// isSuspect reports whether a gateway is excluded from selection.
func (l *Linker) isSuspect(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.suspectUntil[addr])
}

// relink starts links to newly selected gateways and cancels those to gateways that
// are no longer selected.
func (l *Linker) relink(ctx context.Context, links *sync.WaitGroup) {
	want := map[string]chivevm.VM{}
	for _, vm := range l.selectGateways() {
		want[vm.LinkAddress] = vm
	}
	for addr, cancel := range l.links {
		if _, ok := want[addr]; !ok {
			cancel()
			delete(l.links, addr)
		}
	}
	for addr := range want {
		if _, ok := l.links[addr]; ok {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l.links[addr] = cancel
		links.Add(1)
		go func() {
			defer links.Done()
			_ = chiveguard.Repeat(linkCtx, log.Default(), "link to "+addr, func() error {
				l.maintainLink(linkCtx, addr)
				return nil
			})
		}()
	}
}

// selectGateways returns the gateways to link to: the first by rendezvous hashing
// among the live ones that are not about to stop and not suspect.
func (l *Linker) selectGateways() []chivevm.VM {
	leaving := map[string]bool{}
	for _, d := range l.Syncer.Departures() {
		leaving[d.Name] = true
	}
	byName := map[string]chivevm.VM{}
	var candidates []chiveshard.Gateway
	for _, vm := range l.VMs() {
		if vm.Name == l.Syncer.Node.Name || vm.State != chivevm.StateLive || leaving[vm.Name] || l.isSuspect(vm.LinkAddress) {
			continue
		}
		byName[vm.Name] = vm
		candidates = append(candidates, chiveshard.Gateway{Name: vm.Name, Zone: vm.Zone})
	}
	var list []chivevm.VM
	for _, g := range chiveshard.Pick(l.Syncer.Node.Name, "", candidates, l.GatewayCount) {
		list = append(list, byName[g.Name])
	}
	return list
}

// maintainLink exchanges syncs with one gateway, and opens a new stream whenever one
// fails, until the context ends.
func (l *Linker) maintainLink(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		l.exchange(ctx, addr)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// exchange opens a sync stream and uses it until it fails or the context ends. A
// failure marks the gateway as suspect.
func (l *Linker) exchange(ctx context.Context, addr string) {
	first, err := l.Syncer.OpeningSync()
	if err != nil {
		return
	}
	stream, err := l.Dialer.Sync(ctx, addr, first)
	if err == nil {
		err = l.Syncer.Exchange(ctx, stream, nil)
	}
	if err != nil && ctx.Err() == nil {
		l.Dialer.CloseConn(addr)
		l.markSuspect(addr)
	}
}
