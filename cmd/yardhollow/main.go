// Command yardhollow measures how the service's roles grow with the number of
// dispatchers and of destinations. Nothing of it runs in service.
package main

import (
	"os"

	"yardwharf/internal/tools/hollow"
)

func main() { os.Exit(hollow.Main(os.Args[1:], os.Stdout, os.Stderr)) }
