// Command yardfleet is what yardwharf steward and yardwharf rollout run: it keeps the
// dispatcher's processes on a machine, and drives changes through a fleet.
package main

import (
	"os"

	"yardwharf/internal/tools/fleetcli"
)

func main() { os.Exit(fleetcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
