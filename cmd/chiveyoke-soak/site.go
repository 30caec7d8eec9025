package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
)

// firstNetByte is the second byte of the first address of the first run; runs beside
// each other take the following ones.
const firstNetByte = 30

// siteCommand runs soaks on the stand-in of the users' platform.
func siteCommand() *cobra.Command {
	var (
		template    chiveplatform.Soak
		first       uint64
		count, jobs int
		logs        string
	)
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Run entry VMs before the stand-in of the users' platform, a run for each seed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSeeds(cmd.Context(), cmd, template, first, count, jobs, logs)
		},
	}
	self, _ := os.Executable()
	flags := cmd.Flags()
	flags.StringVar(&template.Program, "program", filepath.Join(filepath.Dir(self), "chiveyoke-entry"), "daemon of entry VMs")
	flags.Uint64Var(&first, "seed", 1, "first seed")
	flags.IntVar(&count, "seeds", 1, "number of seeds")
	flags.IntVar(&jobs, "jobs", 3, "runs beside each other")
	flags.DurationVar(&template.FaultDuration, "time", 10*time.Second, "how long faults are made in each run")
	flags.IntVar(&template.EntryVMs, "entries", 4, "entry VMs")
	flags.IntVar(&template.Runners, "runners", 3, "runners")
	flags.StringVar(&logs, "logs", "", "directory that keeps settings and logs; none are kept without it")
	return cmd
}

func runSeeds(ctx context.Context, cmd *cobra.Command, template chiveplatform.Soak, first uint64, count, jobs int, logs string) error {
	nets := make(chan byte, jobs)
	for i := range jobs {
		nets <- byte(firstNetByte + i)
	}
	var (
		running sync.WaitGroup
		mu      sync.Mutex
		broken  int
	)
	for i := range count {
		if ctx.Err() != nil {
			break
		}
		s := template
		s.Seed, s.Net = first+uint64(i), <-nets
		running.Go(func() {
			defer func() { nets <- s.Net }()
			result, err := runSeed(ctx, &s, logs)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				broken++
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %v\n", s.Seed, err)
				return
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d requests, %d served, %d refused, %d failed, faults %v\n",
				s.Seed, result.Requests, result.Served, result.Refused, result.Failed, result.Faults)
			for _, b := range result.Violations {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "seed %d: BROKEN: %s\n", s.Seed, b)
			}
			if len(result.Violations) > 0 {
				broken++
			}
		})
	}
	running.Wait()
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, count)
	}
	return nil
}

func runSeed(ctx context.Context, s *chiveplatform.Soak, logs string) (*chiveplatform.Result, error) {
	if logs == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		s.Dir = dir
		return s.Run(ctx)
	}
	s.Dir = filepath.Join(logs, fmt.Sprint("seed-", s.Seed))
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return nil, err
	}
	return s.Run(ctx)
}
