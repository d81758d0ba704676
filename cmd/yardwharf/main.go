// Command yardwharf is a dispatcher: it takes messages from clients, relays them
// to south side hosts as the decision module says, and answers.
package main

import (
	"os"

	"yardwharf/internal/run/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
