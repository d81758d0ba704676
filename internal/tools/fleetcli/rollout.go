package fleetcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"yardwharf/internal/decide/rollout"
	"yardwharf/internal/decide/script"
	"yardwharf/internal/run/config"
	"yardwharf/internal/run/operator"
	"yardwharf/internal/tools/controller"
	"yardwharf/internal/tools/steward"
)

const controllerTime = 5 * time.Second

// stewardCommand keeps the dispatcher's processes on a machine without a platform.
func stewardCommand(log io.Writer) *cobra.Command {
	var o steward.Options
	var doors string
	c := &cobra.Command{Use: "steward", Short: "Keep the dispatcher's processes on this machine, for installations without a platform",
		Long: `Hold the clients' listening socket, start the dispatcher on it, start it again after a
crash with growing waits, upgrade it as a controller asks, and fall back to the last good
build and settings after repeated crashes. What must last lies in --folder. SIGTERM ends
the dispatcher in order, and then the steward.`,
		Example: `  yardwharf steward --listen 10.0.0.4:8080 --doors 10.0.0.4:8081,10.0.0.4:8082 --at 10.0.0.4:8090 \
      --folder /var/lib/yardwharf --build /srv/yardwharf/7/yardwharf --config /etc/yardwharf/config.json`,
		Args: exactly(0, "none"),
		RunE: func(c *cobra.Command, _ []string) error {
			two := strings.Split(doors, ",")
			if len(two) != 2 || two[0] == two[1] || two[0] == "" || two[1] == "" {
				return fault{fmt.Errorf("--doors: is %q, expected two different ip:port with a comma between", doors)}
			}
			o.Doors, o.Console = [2]string(two), log
			for _, need := range []struct{ flag, value string }{{"listen", o.Listen}, {"at", o.At}, {"folder", o.Folder}} {
				if need.value == "" {
					return fault{fmt.Errorf("--%s is missing", need.flag)}
				}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return steward.Run(ctx, zerolog.New(log).With().Timestamp().Str("steward", o.At).Logger(), o)
		}}
	f := c.Flags()
	f.StringVar(&o.Listen, "listen", "", "ip:port of the clients")
	f.StringVar(&doors, "doors", "", "two ip:port for the operators' doors of the two processes of an upgrade")
	f.StringVar(&o.At, "at", "", "ip:port where the controller calls")
	f.StringVar(&o.Folder, "folder", "", "for what must last")
	f.StringVar(&o.First.Build, "build", "", "the dispatcher, where --folder knows of none yet")
	f.StringVar(&o.First.Config, "config", "", "the same for the file that PROXY_CONFIG names")
	f.StringVar(&o.First.Operator, "operator", "", "the same for the operator's file")
	return c
}

// rolloutCommand drives rolling changes.
func rolloutCommand(out, log io.Writer) *cobra.Command {
	var record, form, report string
	c := &cobra.Command{Use: "rollout", Short: "Take a new build or new settings through the fleet in stages",
		Long: `Drive the stewards of a fleet as a plan says. A stage that does worse than the rest of the
fleet beside it ends the change, and all go back. Every decision is in the record, a file
beside the plan (PLAN.record) unless --record names another.`,
		Example: "  yardwharf rollout start plan.star\n  yardwharf rollout hold plan.star\n  yardwharf rollout log plan.star --report change.html"}
	c.PersistentFlags().StringVar(&record, "record", "", "the file with the decisions")
	c.PersistentFlags().StringVarP(&form, "output", "o", "", "form of the output: text or json (default: text on a terminal, else json)")
	load := func(path string) (*rollout.Plan, []byte, string, error) {
		switch form {
		case "text", "json":
		case "":
			form = "json"
			if f, ok := out.(*os.File); ok {
				if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
					form = "text"
				}
			}
		default:
			return nil, nil, "", fault{fmt.Errorf("--output: unknown %q, expected text or json", form)}
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, "", fault{fmt.Errorf("plan: %w", err)}
		}
		p, err := rollout.Parse(path, text)
		var own *script.Error
		if errors.As(err, &own) {
			fmt.Fprintln(log, own)
			return nil, nil, "", fault{told{}}
		}
		if err != nil {
			return nil, nil, "", fault{err}
		}
		at := record
		if at == "" {
			at = path + ".record"
		}
		return p, text, at, nil
	}
	say := func(v any, text string) error {
		if form == "json" {
			return json.NewEncoder(out).Encode(v)
		}
		_, err := fmt.Fprintln(out, text)
		return err
	}
	start := &cobra.Command{Use: "start PLAN", Short: "Begin a change, or go on with one whose controller has ended", Args: exactly(1, "one plan"),
		Long: `Drive the change until it is done or stopped. It may be ended at any time and started
again: it goes on where it was. The status is 0 if the change is done, else 1.`,
		RunE: func(c *cobra.Command, args []string) error {
			p, text, at, err := load(args[0])
			if err != nil {
				return err
			}
			if err := refused(p.Target); err != nil {
				return fault{err}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			st, err := controller.Run(ctx, zerolog.New(log).With().Timestamp().Str("change", p.Change).Logger(), controller.Options{Plan: p, Text: text, Record: at,
				Tell: func(r rollout.Record, s rollout.Status) { say(r, line(r)) }})
			if err != nil {
				return fmt.Errorf("rollout: %w", err)
			}
			if err := say(st, state(st)); err != nil {
				return err
			}
			if st.State != rollout.Done {
				return fmt.Errorf("rollout: change %s is %s", st.Change, st.State)
			}
			return nil
		}}
	look := &cobra.Command{Use: "status PLAN", Short: "Say where a change stands", Args: exactly(1, "one plan"),
		RunE: func(c *cobra.Command, args []string) error {
			p, _, at, err := load(args[0])
			if err != nil {
				return err
			}
			var st rollout.Status
			if err := speak(c.Context(), p.Listen, "GET", "/status", &st); err != nil { // nobody drives it
				l, err := folded(p, at)
				if err != nil {
					return err
				}
				st = l.Status
				st.Waits = "no controller runs"
			}
			return say(st, state(st))
		}}
	logs := &cobra.Command{Use: "log PLAN", Short: "Print all decisions, and with --report a page of them", Args: exactly(1, "one plan"),
		RunE: func(c *cobra.Command, args []string) error {
			p, _, at, err := load(args[0])
			if err != nil {
				return err
			}
			var all controller.Log
			if speak(c.Context(), p.Listen, "GET", "/log", &all) != nil { // nobody drives it
				if all, err = folded(p, at); err != nil {
					return err
				}
			}
			for _, l := range all.List {
				if err := say(l, line(l)); err != nil {
					return err
				}
			}
			if report == "" {
				return nil
			}
			f, err := os.Create(report)
			if err != nil {
				return fmt.Errorf("--report: %w", err)
			}
			return errors.Join(controller.Report(f, all), f.Close())
		}}
	logs.Flags().StringVar(&report, "report", "", "write one HTML file of what was compared, and why it went on or back")
	c.AddCommand(start, look, logs)
	for _, verb := range []struct {
		name, short string
		kind        rollout.Kind
	}{{"hold", "Stop where it is: nothing more is upgraded", rollout.Hold}, {"go", "Go on with a change that is held", rollout.Resume},
		{"back", "Take the change back", rollout.RollBack}} {
		c.AddCommand(&cobra.Command{Use: verb.name + " PLAN", Short: verb.short, Args: exactly(1, "one plan"),
			RunE: func(c *cobra.Command, args []string) error {
				p, text, at, err := load(args[0])
				if err != nil {
					return err
				}
				var st rollout.Status
				err = speak(c.Context(), p.Listen, "POST", "/"+verb.name, &st)
				var no *controller.No
				if errors.As(err, &no) {
					return fmt.Errorf("rollout: %w", err)
				}
				if err != nil { // nobody drives it: the next start does it
					if st, err = wished(p, text, at, verb.kind); err != nil {
						return err
					}
				}
				return say(st, state(st))
			}})
	}
	return c
}

// refused is why settings can never be used, where they are on this machine, too: no
// dispatcher is touched by them then.
func refused(v rollout.Version) error {
	if v.Operator != "" {
		if _, err := os.Stat(v.Operator); err == nil {
			if _, err := operator.Load(v.Operator); err != nil {
				return err
			}
		}
	}
	if v.Config == "" {
		return nil
	}
	text, err := os.ReadFile(v.Config)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	c, err := config.Parse(text, func(name string) string { // what the steward and each machine add
		return map[string]string{"PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:1"}[name]
	})
	if err != nil {
		return fmt.Errorf("%s: %w", v.Config, err)
	}
	if c.Admin.IsValid() {
		return fmt.Errorf("%s: key admin: is %s, expected none: stewards give each process its own", v.Config, c.Admin)
	}
	return nil
}

// speak calls a controller.
func speak(ctx context.Context, at, method, path string, into any) error {
	return controller.Call(ctx, &http.Client{Timeout: controllerTime}, at, method, path, nil, into)
}

// folded is a record that nobody has open.
func folded(p *rollout.Plan, at string) (controller.Log, error) {
	r, err := controller.Read(at)
	if err != nil {
		return controller.Log{}, fmt.Errorf("rollout: %w", err)
	}
	defer r.Close()
	m, err := controller.Fold(p, r)
	if err != nil {
		return controller.Log{}, fmt.Errorf("rollout: %s: %w", at, err)
	}
	return controller.Log{Status: m.Status(), Plan: string(r.Plan), List: r.List}, nil
}

// wished adds a wish to a record that nobody has open.
func wished(p *rollout.Plan, text []byte, at string, kind rollout.Kind) (st rollout.Status, err error) {
	if _, err := os.Stat(at); err != nil {
		return st, fmt.Errorf("rollout: the change has not begun: %w", err)
	}
	r, err := controller.Open(at, p.Change, text)
	if err != nil {
		return st, fmt.Errorf("rollout: %w", err)
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	m, err := controller.Fold(p, r)
	if err != nil {
		return st, fmt.Errorf("rollout: %s: %w", at, err)
	}
	err = controller.Wish(m, kind, func(l rollout.Record) error {
		l.At = time.Now()
		return errors.Join(r.Write(l), m.Apply(l))
	})
	if err != nil {
		return st, fmt.Errorf("rollout: %w", err)
	}
	st = m.Status()
	st.Waits = "no controller runs: the next start does it"
	return st, nil
}

// line is a decision for people.
func line(r rollout.Record) string {
	s := fmt.Sprintf("%s %4d  stage %d  %-9s %s", r.At.Format("15:04:05"), r.Seq, r.Stage+1, r.Kind, r.Dispatcher)
	for _, more := range []string{r.Fault, r.Why} {
		if more != "" {
			s += "  " + more
		}
	}
	return s
}

// state is where a change stands, for people.
func state(s rollout.Status) string {
	out := fmt.Sprintf("change %s: %s, stage %d of %d, %d dispatchers are new", s.Change, s.State, s.Stage, s.Stages, len(s.New))
	if s.Held != "" {
		out += "; held: " + s.Held
	}
	if s.Waits != "" {
		out += "; " + s.Waits
	}
	if len(s.NotBack) > 0 {
		out += "; not back: " + strings.Join(s.NotBack, ", ")
	}
	for _, l := range s.Compared {
		out += "\n  " + l
	}
	return out
}
