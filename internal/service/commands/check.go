package commands

import (
	"fmt"
	"io"
	"os"
	"strings"

	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/settings"
)

// runCheck validates a file and prints one line per fault.
func runCheck(path string, isConfiguration bool, out, errors io.Writer) int {
	content, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(errors, "yardservice:", err)
		return exitUsage
	}
	if isConfiguration {
		_, err = configuration.Parse(content)
	} else {
		_, err = settings.Parse(path, content)
	}
	if err == nil {
		fmt.Fprintln(out, path+": valid")
		return exitSuccess
	}
	for fault := range strings.Lines(err.Error()) {
		fmt.Fprintln(errors, faultLine(path, fault))
	}
	return exitUsage
}

// faultLine formats a fault as "FILE: location: cause", whether or not the error
// already has its error class or the file as a prefix.
func faultLine(path, fault string) string {
	fault = strings.TrimSpace(fault)
	for _, class := range []string{string(configuration.Class), string(settings.Class)} {
		fault = strings.TrimPrefix(fault, class+": ")
	}
	return path + ": " + strings.TrimPrefix(fault, path+": ")
}
