package chivesync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveshard"
)

const (
	// listPeriod is the time between two reads of the VM list.
	listPeriod = 3 * time.Second
	// redialDelay is the time before a lost link is dialed again.
	redialDelay = 300 * time.Millisecond
	// suspectDuration is how long a gateway that broke a link is passed over.
	suspectDuration = 5 * time.Second
)

// A Lister reads the platform's VM list.
type Lister interface {
	List(ctx context.Context) ([]chivevm.VM, error)
}

// A Linker keeps streams of syncs to a few gateways.
type Linker struct {
	Syncer *Syncer
	Dialer *chivelink.Dialer
	Lister Lister
	// GatewayCount is the number of gateways to link to.
	GatewayCount int

	listedAt time.Time

	mu    sync.Mutex
	vms   []chivevm.VM
	links map[string]context.CancelFunc
	// suspectUntil holds the gateways that broke a link, with the time until which
	// others go first.
	suspectUntil map[string]time.Time
}

// VMs returns a copy of the entry VMs as last read.
func (l *Linker) VMs() []chivevm.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms)
}

// Run keeps the links until the context ends.
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

// markSuspect passes a gateway over for a while.
func (l *Linker) markSuspect(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectUntil[addr] = time.Now().Add(suspectDuration)
}

func (l *Linker) isSuspect(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.suspectUntil[addr])
}

// relink starts and ends links so that they are those of the best gateways.
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
			l.maintainLink(linkCtx, addr)
		}()
	}
}

// selectGateways returns the gateways to link to: the best by rendezvous hashing among
// those that are not known to leave or to be unreachable.
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

// maintainLink exchanges syncs with one gateway and dials again when the stream breaks.
func (l *Linker) maintainLink(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		l.exchange(ctx, addr)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

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
