// Command yardxds speaks xDS for a dispatcher, which starts it and stands at the
// other end of its standard input and output.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"yardwharf/internal/carry/xdshelper"
)

func main() {
	// It ends with its dispatcher, which serves on for a while after these.
	signal.Ignore(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := xdshelper.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "yardxds:", err)
		os.Exit(1)
	}
}
