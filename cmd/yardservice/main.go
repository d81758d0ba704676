// Command yardservice runs the roles of the ingest and dispatch service.
package main

import (
	"os"

	"yardwharf/internal/service/commands"
)

func main() { os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr)) }
