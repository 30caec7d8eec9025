// Package chivedoor implements listeners whose connections share the memory and the descriptors of a
// process. What a connection may hold is decided before its bytes are kept; where there is no room,
// connections are closed in the order of chivebudget.CloseFirst.
package chivedoor

import (
	"bytes"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
)

const (
	// connSize is the memory of a connection without its requests, in bytes: stacks, buffers and
	// records.
	connSize = 24 << 10
	// byteSize and fieldSize are the memory that a byte and a line of a head become, in bytes. A
	// line becomes an entry of a map with its key and its list of values.
	byteSize  = 3
	fieldSize = 160
	// maxHeadBytes is the default of Limits.MaxHead, headTimeout that of HeadTimeout and
	// idleTimeout that of IdleTimeout.
	maxHeadBytes = 256 << 10
	headTimeout  = 5 * time.Second
	idleTimeout  = 60 * time.Second
	// headSlack is added to Limits.MaxHead: what follows a head may be read with it, and clients
	// may count its lines in other ways. timeSlack is added to the times for the way of the bytes.
	headSlack = 8 << 10
	timeSlack = time.Second
	// bodyTime is the time after which a body that is still arriving counts as the heaviest, and
	// an answer at a door without a time for answers.
	bodyTime = 10 * time.Second
	// sweepInterval is the time between two sweeps, minSweepInterval the shortest. After a pause of
	// more than stallTime the connections get another interval: their bytes may have arrived
	// meanwhile.
	sweepInterval    = 250 * time.Millisecond
	minSweepInterval = 100 * time.Millisecond
	stallTime        = 2 * time.Second
	// logInterval is the shortest time between two log lines on closed connections.
	logInterval = time.Second
)

// errClosed is returned to a server that reads from a connection which was closed for others.
var errClosed = errors.New("connection was closed to make room")

// Limits holds what clients keep to; a field that is 0 has its default.
type Limits struct {
	// MaxHead is the size of the largest head in bytes.
	MaxHead int64
	// HeadTimeout is how long a head may take, IdleTimeout how long a connection may be idle.
	HeadTimeout, IdleTimeout time.Duration
}

// Reason is why a connection was closed.
type Reason string

// The reasons for which connections are closed.
const (
	NoMemory      Reason = "memory"
	NoDescriptors Reason = "descriptors"
	LongHead      Reason = "head"
	Late          Reason = "time"
)

// Closed names a count of closed connections.
type Closed struct {
	Door   string
	Reason Reason
}

// Ledger counts what the connections of a process hold. The zero value sets no limits but those on
// heads and times. Its methods may be called concurrently.
type Ledger struct {
	// Budget is the budget of the process, of which connections may have Budget.Connections.
	Budget chivebudget.Budget
	// MaxConns is the largest number of connections at all doors, 0 if it is not limited.
	MaxConns int
	// Limits returns what clients keep to. It may be nil.
	Limits func() Limits
	// Log may be nil.
	Log *log.Logger

	mu    sync.Mutex
	doors []*Door
	// closed counts the closed connections, unlogged those since loggedAt.
	closed, unlogged  map[Closed]int64
	loggedAt, sweptAt time.Time
}

// step is what a connection is doing.
type step uint8

const (
	// stepHead is the step of a connection that is new or whose head is arriving.
	stepHead step = iota
	// stepBody is the step from the end of the head to Begin, or to the end of the answer.
	stepBody
	// stepRequest is the step from Begin to the end of the answer.
	stepRequest
	// stepIdle is the step between two requests.
	stepIdle
)

// limits returns what clients keep to, with the defaults and the slack.
func (l *Ledger) limits() Limits {
	var m Limits
	if l.Limits != nil {
		m = l.Limits()
	}
	if m.MaxHead <= 0 {
		m.MaxHead = maxHeadBytes
	}
	if m.HeadTimeout <= 0 {
		m.HeadTimeout = headTimeout
	}
	if m.IdleTimeout <= 0 {
		m.IdleTimeout = idleTimeout
	}
	return Limits{m.MaxHead + headSlack, m.HeadTimeout + timeSlack, m.IdleTimeout + timeSlack}
}

// cost returns the memory that bytes of a head become.
func cost(b []byte) int64 {
	return int64(len(b))*byteSize + int64(bytes.Count(b, []byte{'\n'}))*fieldSize
}

// open counts a new connection, and closes others if it has no room otherwise. It returns nil if the
// new one has none.
func (l *Ledger) open(d *Door, nc *net.TCPConn) *Conn {
	c := &Conn{TCPConn: nc, door: d, since: time.Now(), held: connSize}
	l.mu.Lock()
	d.conns[c] = struct{}{}
	d.held += c.held
	victims := append(l.makeRoom(NoDescriptors), l.makeRoom(NoMemory)...)
	shut := c.shut
	l.mu.Unlock()
	closeAll(victims)
	if shut {
		return nil
	}
	return c
}

// grow counts n more bytes for a connection that is in the connections' part of the budget. If there
// is no room, it closes connections, this one among them if it is the first to close.
func (l *Ledger) grow(c *Conn, n int64) error {
	l.mu.Lock()
	if !c.shut {
		c.held += n
		c.door.held += n
	}
	victims := l.makeRoom(NoMemory)
	shut := c.shut
	l.mu.Unlock()
	closeAll(victims)
	if shut {
		return errClosed
	}
	return nil
}

// makeRoom takes the connections from the ledger that must be closed so that the others keep to a
// limit, and returns them. The caller must hold mu, and close them without it.
func (l *Ledger) makeRoom(why Reason) []*Conn {
	limit := l.Budget.Connections()
	if why == NoDescriptors {
		limit = int64(l.MaxConns)
	}
	if limit == 0 {
		return nil
	}
	shares := make([]chivebudget.Share, len(l.doors))
	var sum int64
	for i, d := range l.doors {
		shares[i] = chivebudget.Share{Used: d.held, Weight: d.Weight}
		if why == NoDescriptors {
			shares[i].Used = int64(len(d.conns))
		}
		sum += shares[i].Used
	}
	if sum <= limit {
		return nil
	}
	var conns []*Conn
	var candidates []chivebudget.Candidate
	limits, now := l.limits(), time.Now()
	for i, d := range l.doors {
		for c := range d.conns {
			if c.step == stepRequest {
				continue
			}
			used := c.held
			if why == NoDescriptors {
				used = 1
			}
			conns = append(conns, c)
			candidates = append(candidates, chivebudget.Candidate{Door: i, Used: used, Spent: now.Sub(c.since).Seconds() / c.time(limits).Seconds()})
		}
	}
	var victims []*Conn
	for _, i := range chivebudget.CloseFirst(candidates, shares, limit) {
		l.drop(conns[i], why)
		victims = append(victims, conns[i])
	}
	return victims
}

// drop takes a connection that is to be closed from the ledger. The caller must hold mu.
func (l *Ledger) drop(c *Conn, why Reason) {
	c.shut = true
	l.remove(c)
	l.count(c.door, why)
}

// count counts a closed connection. The caller must hold mu.
func (l *Ledger) count(d *Door, why Reason) {
	if l.closed == nil {
		l.closed, l.unlogged = map[Closed]int64{}, map[Closed]int64{}
	}
	key := Closed{d.Name, why}
	l.closed[key]++
	l.unlogged[key]++
}

// remove takes a connection from the ledger. The caller must hold mu.
func (l *Ledger) remove(c *Conn) {
	c.door.held -= c.held
	c.held = 0
	delete(c.door.conns, c)
}

// closeAll closes connections that were dropped.
func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.discard()
	}
}

// Sweep closes the connections whose time for their step has passed, and logs how many were closed.
// It is to be called a few times a second.
func (l *Ledger) Sweep() {
	now := time.Now()
	l.mu.Lock()
	var victims []*Conn
	if gap := now.Sub(l.sweptAt); gap >= minSweepInterval {
		l.sweptAt = now
		if gap <= stallTime {
			victims = l.expired(now)
		}
	}
	logged := l.takeUnlogged(now)
	l.mu.Unlock()
	closeAll(victims)
	for key, n := range logged {
		l.Log.Info("Connections were closed.", "port", key.Door, "reason", string(key.Reason), "count", n)
	}
}

// Run calls Sweep until the context ends, and returns nil.
func (l *Ledger) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			l.Sweep()
		}
	}
}

// expired drops the connections whose time for their step has passed. The caller must hold mu.
func (l *Ledger) expired(now time.Time) []*Conn {
	limits := l.limits()
	var victims []*Conn
	for _, d := range l.doors {
		for c := range d.conns {
			bounded := c.step == stepHead || c.step == stepIdle || c.step == stepBody && d.AnswerTime > 0
			if !bounded || now.Sub(c.since) <= c.time(limits) {
				continue
			}
			if c.step == stepIdle {
				// The end of an idle connection is nothing to report.
				c.shut = true
				l.remove(c)
			} else {
				l.drop(c, Late)
			}
			victims = append(victims, c)
		}
	}
	return victims
}

// takeUnlogged returns the counts to log. The caller must hold mu.
func (l *Ledger) takeUnlogged(now time.Time) map[Closed]int64 {
	if l.Log == nil || len(l.unlogged) == 0 || now.Sub(l.loggedAt) < logInterval {
		return nil
	}
	list := l.unlogged
	l.unlogged, l.loggedAt = map[Closed]int64{}, now
	return list
}

// DoorCounts holds what a door uses.
type DoorCounts struct {
	// Conns is the number of connections, Held the number of bytes that those without an admitted
	// request hold.
	Conns int
	Held  int64
}

// Counts returns what each door uses, by name, and how many connections were closed.
func (l *Ledger) Counts() (doors map[string]DoorCounts, closed map[Closed]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	doors, closed = map[string]DoorCounts{}, map[Closed]int64{}
	for _, d := range l.doors {
		doors[d.Name] = DoorCounts{len(d.conns), d.held}
	}
	for key, n := range l.closed {
		closed[key] = n
	}
	return doors, closed
}

// FileLimit returns the smaller of a limit on the descriptors of this process and that of the system,
// not counting limits of 0. It returns 0 if there is none.
func FileLimit(stated int64) int64 {
	var system unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &system) != nil || system.Cur > math.MaxInt32 {
		return stated
	}
	if current := int64(system.Cur); stated <= 0 || current < stated {
		return current
	}
	return stated
}

// MaxConnsOf returns the number of connections that clients may have with files descriptors: what is
// left is for those to others. It returns 0, no limit, if files is 0.
func MaxConnsOf(files int64) int {
	if files <= 0 {
		return 0
	}
	return int(min(max(minConns, (files-ownFiles)/connPart*connParts), math.MaxInt32))
}

const (
	// ownFiles is the number of descriptors that a process needs for itself.
	ownFiles = 64
	// Clients may have connParts of connPart parts of the others.
	connParts, connPart = 2, 3
	// minConns is the number of connections that clients may have at least.
	minConns = 16
)
