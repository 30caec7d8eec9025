package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivecrowd"
	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
)

// firstNetByte is the second byte of the loopback addresses of the first run.
// Parallel runs use the following values, so that their addresses do not collide.
const firstNetByte = 30

// siteCommand returns the command that runs soak tests against the stand-in of the
// users' platform.
func siteCommand() *cobra.Command {
	var (
		template    chiveplatform.Soak
		firstSeed   uint64
		seeds, jobs int
		logDir      string
		crowds      bool
	)
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Run entry VMs against the stand-in of the users' platform, once for each seed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if crowds {
				template.Crowd = chivecrowd.Visit
			}
			return runSeeds(cmd.Context(), cmd, template, firstSeed, seeds, jobs, logDir)
		},
	}
	executable, _ := os.Executable()
	flags := cmd.Flags()
	flags.StringVar(&template.Program, "program", filepath.Join(filepath.Dir(executable), "chiveyoke-entry"), "path of the daemon of entry VMs")
	flags.Uint64Var(&firstSeed, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of consecutive seeds, with one run each")
	flags.IntVar(&jobs, "jobs", 3, "number of parallel runs")
	flags.DurationVar(&template.FaultDuration, "time", 10*time.Second, "how long faults are injected in each run")
	flags.BoolVar(&template.OlderCopies, "copies", false, "let the store return from older copies beside the other faults")
	flags.BoolVar(&template.Silences, "silences", false, "let all connections to the store go silent beside the other faults")
	flags.BoolVar(&template.Troubles, "troubles", false, "let runners leave, ask for pauses, name limits, answer without an end and crash under a part of prompts or a request, and entry VMs stop in series, beside the other faults")
	flags.BoolVar(&template.SlowCallers, "slow-callers", false, "let a third of the callers read slowly in every second seed, and limit the memory of entry VMs")
	flags.BoolVar(&crowds, "crowds", false, "let crowds of clients that keep to no limit visit the ports of entry VMs, and limit the memory of entry VMs")
	flags.IntVar(&template.EntryVMs, "entries", 4, "number of entry VMs")
	flags.IntVar(&template.Runners, "runners", 3, "number of runners")
	flags.StringVar(&logDir, "logs", "", "directory for settings and logs; they are deleted if it is not set")
	return cmd
}

// runSeeds runs one soak test for each seed, at most jobs at a time, and prints the
// results. It returns an error if any run failed or violated a guarantee.
func runSeeds(ctx context.Context, cmd *cobra.Command, template chiveplatform.Soak, firstSeed uint64, seeds, jobs int, logDir string) error {
	netBytes := make(chan byte, jobs)
	for i := range jobs {
		netBytes <- byte(firstNetByte + i)
	}
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		failed int
	)
	for i := range seeds {
		if ctx.Err() != nil {
			break
		}
		s := template
		s.Seed, s.Net = firstSeed+uint64(i), <-netBytes
		wg.Go(func() {
			defer func() { netBytes <- s.Net }()
			result, err := runSeed(ctx, &s, logDir)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %v\n", s.Seed, err)
				return
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d requests, %d served, %d refused, %d failed, %d probes, faults %v\n",
				s.Seed, result.Requests, result.Served, result.Refused, result.Failed, result.Probes, result.Faults)
			for _, v := range result.Violations {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "seed %d: BROKEN: %s\n", s.Seed, v)
			}
			if len(result.Violations) > 0 {
				failed++
			}
		})
	}
	wg.Wait()
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed or violated a guarantee", failed, seeds)
	}
	return nil
}

// runSeed runs one soak test. It keeps the settings and logs in a directory below
// logDir, or deletes them if logDir is empty.
func runSeed(ctx context.Context, s *chiveplatform.Soak, logDir string) (*chiveplatform.Result, error) {
	if logDir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		s.Dir = dir
		return s.Run(ctx)
	}
	s.Dir = filepath.Join(logDir, fmt.Sprint("seed-", s.Seed))
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return nil, err
	}
	return s.Run(ctx)
}
