// Command chiveyoke is the operators' command line.
package main

import (
	"os"

	"github.com/chiveyoke/chiveyoke/internal/run/chivecommand"
)

func main() {
	os.Exit(chivecommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
