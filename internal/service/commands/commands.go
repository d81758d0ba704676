// Package commands implements the command line of yardservice.
package commands

import (
	"fmt"
	"io"
)

// Exit codes of the program.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the program with its arguments and returns its exit code.
func Main(arguments []string, out, errors io.Writer) int {
	line := newCommandLine()
	if err := line.parse(arguments); err != nil {
		fmt.Fprintf(errors, "yardservice: %v; see yardservice help\n", err)
		return exitUsage
	}
	if line.help {
		if err := line.showHelp(out); err != nil {
			fmt.Fprintln(errors, "yardservice:", err)
			return exitFailure
		}
		return exitSuccess
	}
	switch {
	case line.check.Used:
		return runCheck(line.path, line.isConfiguration, out, errors)
	case line.status.Used:
		return runStatus(line.addresses, line.format(), out, errors)
	case line.message.Used:
		return runMessage(line.id, line.from, line.json, out, errors)
	default:
		return runRole(line.role(), line.verbose, errors)
	}
}
