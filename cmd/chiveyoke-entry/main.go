// Command chiveyoke-entry runs the daemon of an entry VM on the users' platform.
package main

import (
	"context"
	"net"
	"os"
	"strconv"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivescout"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/run/chiveentry"
	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/platform"
)

func main() {
	os.Exit(chivedaemon.Serve("chiveyoke-entry", serve))
}

func serve(ctx context.Context) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	store := platform.NewStore(s.Store.Address)
	return chiveentry.New(settings(s), chiveentry.Dependencies{
		Store: store, Leases: &platform.Table{Store: store, Name: platform.TableLeases},
		Engine: chivescout.NewClient(s.InternalPorts[0], platform.NewEngine()),
		Codec:  platform.Codec{}, Dialect: platform.Dialect{}, Front: platform.Front{}, LogOutput: os.Stdout,
	}).Run(ctx)
}

// Offsets of the ports of an entry VM's services from its first internal port.
const (
	portMesh = iota
	portMetrics
	portReplicas
)

// settings converts the platform's settings to those of the daemon.
func settings(s *platform.Settings) chiveentry.Settings {
	internal := func(offset int) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[0]+offset)) }
	return chiveentry.Settings{
		Entry: chivefleet.Entry{
			Name: s.Name, Zone: s.Zone, CallerAddr: s.Listen.Callers,
			MeshAddr: internal(portMesh), ReplicaAddr: internal(portReplicas),
			LinkRate: s.Limits.LinkMbps, Cores: s.Limits.CPUShare * s.Limits.Cores,
		},
		ReadinessAddress:  s.Listen.Readiness,
		DirectoryAddress:  s.Listen.Directory,
		MetricsAddress:    internal(portMetrics),
		MemoryLimit:       s.Limits.MemoryLimit(),
		MaxFiles:          chivedoor.FileLimit(s.Limits.FileLimit()),
		GracePeriod:       s.Bounds.GracePeriod(),
		KeyRevocationTime: s.Bounds.KeyRevocationTime(),
		RetryLimits: chiverelay.RetryLimits{
			RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack,
			RetryWindow: s.Bounds.RetryWindow(),
		},
		Tables: chiveentry.Tables{Operators: platform.TableOperators, Runners: platform.TableRunners, System: platform.TableSystem},
	}
}
