package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// fleetProgram does what is not the dispatcher's own work, so that the dispatcher is not made
// larger by what that needs.
const fleetProgram = "yardfleet"

// beside is a command of the program beside this one, which takes this one's place.
func beside(name, short string) *cobra.Command {
	return &cobra.Command{Use: name, Short: short, DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			own, err := os.Executable()
			if err != nil {
				return fmt.Errorf("%s: looking for %s: %w", name, fleetProgram, err)
			}
			path := filepath.Join(filepath.Dir(own), fleetProgram)
			if _, err := os.Stat(path); err != nil {
				return fmt.Errorf("%s: the program that does it is missing beside this one: %w", name, err)
			}
			return fmt.Errorf("%s: %w", path, syscall.Exec(path, append([]string{path, name}, args...), os.Environ()))
		}}
}
