// Command yardlab is the laboratory: it plays what surrounds a dispatcher and
// looks at it from outside. Nothing of it runs in service.
package main

import (
	"os"

	"yardwharf/internal/tools/yardlab"
)

func main() { os.Exit(yardlab.Main(os.Args[1:], os.Stdout, os.Stderr)) }
