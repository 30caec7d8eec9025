// Command chiveyoke-gateway runs the gateway, the daemon that serves callers.
package main

import (
	"os"

	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivegateway"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
)

func main() {
	settings := chivesetting.NewGateway()
	os.Exit(chivedaemon.Main("gateway", settings, func() (chivedaemon.Daemon, error) {
		return chivegateway.New(settings, os.Stderr)
	}))
}
