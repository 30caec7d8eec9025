// Command chiveyoke-agent runs the agent, the daemon beside an engine or a service.
package main

import (
	"os"

	"github.com/chiveyoke/chiveyoke/internal/run/chiveagent"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
)

func main() {
	settings := chivesetting.NewAgent()
	os.Exit(chivedaemon.Main("agent", settings, func() (chivedaemon.Daemon, error) {
		return chiveagent.New(settings, os.Stderr)
	}))
}
