package chiveplatform

import (
	"fmt"
	"os/exec"
)

// limitedCommand returns the command of a program that may have a number of open files, 0 for that of
// this process.
func limitedCommand(program string, files int) *exec.Cmd {
	if files == 0 {
		return exec.Command(program)
	}
	return exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, files), program)
}
