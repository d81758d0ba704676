package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/run/operator"
)

const (
	doorVariable = "PROXY_ADMIN" // names the door where --door does not
	doorTime     = 6 * time.Second
)

// zoneCommand speaks of zones with a dispatcher, at its door.
func zoneCommand(out io.Writer) *cobra.Command {
	var door, form string
	c := &cobra.Command{Use: "zone", Short: "Have the fleet leave a zone by hand, and return to it",
		Long: `Speak with a dispatcher whose operator's file has zones(). What is told to one the
whole fleet does, with the same ramp on the way back; it lasts over restarts and upgrades.
The address of the door is that of --door, else of $` + doorVariable + `.`,
		Example: "  yardwharf zone leave mvd-2 --door 10.0.0.4:8081\n  yardwharf zone status -o json"}
	c.PersistentFlags().StringVar(&door, "door", "", "ip:port of the operators' door")
	c.PersistentFlags().StringVarP(&form, "output", "o", "table", "form of the status: table or json")
	call := func(method, path string) (string, error) {
		at := door
		if at == "" {
			at = os.Getenv(doorVariable)
		}
		if at == "" {
			return "", fault{fmt.Errorf("--door is missing, and $%s is not set", doorVariable)}
		}
		return askDoor(at, method, path)
	}
	for _, verb := range []struct{ name, short, done string }{
		{"leave", "Send nothing more into a zone", "is being left by the fleet"},
		{"return", "Go back into a zone that was left by hand", "is returned to once it answers"},
	} {
		c.AddCommand(&cobra.Command{Use: verb.name + " ZONE", Short: verb.short, Args: exactly(1, "one zone"),
			RunE: func(_ *cobra.Command, args []string) error {
				if _, err := call("POST", "/ops/zones/"+verb.name+"/"+url.PathEscape(args[0])); err != nil {
					return err
				}
				_, err := fmt.Fprintf(out, "%s %s\n", args[0], verb.done)
				return err
			}})
	}
	c.AddCommand(&cobra.Command{Use: "status", Short: "Say where each zone stands for a dispatcher", Args: exactly(0, "none"),
		RunE: func(*cobra.Command, []string) error {
			if form != "table" && form != "json" {
				return fault{fmt.Errorf("--output: unknown %q, expected table or json", form)}
			}
			text, err := call("GET", "/ops/zones")
			if err != nil {
				return err
			}
			if form == "json" {
				_, err := fmt.Fprintln(out, text)
				return err
			}
			var list []operator.ZoneStatus
			if err := json.Unmarshal([]byte(text), &list); err != nil {
				return fmt.Errorf("zone: reading the answer: %w", err)
			}
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "ZONE\tSTANDS\tPART\tBY HAND\tDARK\tFINE")
			for _, z := range list {
				fmt.Fprintf(w, "%s\t%s\t%.2f\t%v\t%d\t%d\n", z.Zone, z.Phase, z.Part, z.ByHand, z.Dark, z.Fine)
			}
			return w.Flush()
		}})
	return c
}

// askDoor makes a call at a dispatcher's door; an answer that is no yes is an error.
func askDoor(door, method, path string) (string, error) {
	q, err := http.NewRequest(method, "http://"+door+path, nil)
	if err != nil {
		return "", fault{fmt.Errorf("--door: %q is no ip:port", door)}
	}
	client := http.Client{Timeout: doorTime}
	a, err := client.Do(q)
	if err != nil {
		return "", fmt.Errorf("door: %w", err)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	said := strings.TrimSpace(string(text))
	switch {
	case err != nil:
		return "", fmt.Errorf("door: %w", err)
	case a.StatusCode/100 != 2:
		return "", fmt.Errorf("door %s says %d: %s", door, a.StatusCode, said)
	}
	return said, nil
}
