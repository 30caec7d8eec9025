package chivecrowd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
)

const (
	// visitors is the number of clients of Visit, maxVisit the longest time for which they stay once
	// they have sent.
	visitors = 80
	maxVisit = time.Second
	// bytesPerMB is the number of bytes in a MB of settings.
	bytesPerMB = 1_000_000
)

// Visit has clients send what is drawn to a port of an entry VM that is drawn, and keep their connections
// for a moment. It returns an error if the process uses more memory than its site allows. It has the type
// of chiveplatform.Soak.Crowd.
func Visit(ctx context.Context, e *chiveplatform.EntryVM, memoryMB int, rng *rand.Rand) error {
	kinds, ports := append(Kinds(), Idle()...), e.Ports()
	k, d := kinds[rng.IntN(len(kinds))], Door(ports[rng.IntN(len(ports))])
	crowd := Gather(visitors, d, k)
	defer crowd.Close()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(rng.Int64N(int64(maxVisit)))):
	}
	u, err := ReadUsage(e.PID(), e.IP)
	if err != nil {
		// The process has been stopped meanwhile.
		return nil
	}
	if u.Memory() > int64(memoryMB)*bytesPerMB {
		return fmt.Errorf("%s uses %d bytes of memory, %d of them unread, after %q at its port %s", e.Name, u.Memory(), u.Unread, k.Name, d.Name)
	}
	return nil
}
