package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"yardwharf/internal/run/config"
)

// checkConfig checks a configuration, alone or against the one that counts at a door.
func checkConfig(out io.Writer, path, door string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fault{fmt.Errorf("check: %w", err)}
	}
	next, err := config.Parse(text, elsewhere)
	if err != nil {
		return fault{fmt.Errorf("%s: %w", path, err)}
	}
	if door == "" {
		_, err := fmt.Fprintf(out, "%s: can be used\n", path)
		return err
	}
	running, err := askDoor(door, "GET", "/ops/settings")
	if err != nil {
		return err
	}
	now, err := config.Parse([]byte(running), elsewhere)
	if err != nil {
		return fmt.Errorf("door %s: its configuration cannot be read by this build: %w", door, err)
	}
	live, fixed := now.Changes(next)
	_, err = fmt.Fprintf(out, "%s: can be used\nat SIGHUP: %s\nwith a new process: %s\n", path, named(live), named(fixed))
	return err
}

// elsewhere stands for the environment of the dispatcher that a configuration is for: what is
// left to it there differs in nothing.
func elsewhere(name string) string {
	if name == "PROXY_LISTEN" || name == "PROXY_DISCOVERY" {
		return "127.0.0.1:1"
	}
	return ""
}

func named(keys []string) string {
	if len(keys) == 0 {
		return "nothing"
	}
	return strings.Join(keys, ", ")
}
