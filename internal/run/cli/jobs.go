package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/doors/jobs"
)

// serverVariable names the job API where --server does not.
const serverVariable = "YARDWHARF_JOBS"

// jobsCommand is the client of the job API.
func jobsCommand(out io.Writer) *cobra.Command {
	var server, form string
	c := &cobra.Command{Use: "jobs", Short: "Submit jobs that wait, and look after them",
		Long: `Speak the job API of a dispatcher whose operator's file has jobs(listen = ...).
The address is that of --server, else of $` + serverVariable + `.`,
		Example: `  yardwharf jobs submit --class campaign-batch --body hello --not-before 22:15
  yardwharf jobs submit --class campaign-batch --after j17 --after j18=end
  yardwharf jobs submit --file batch.json
  yardwharf jobs list --state waiting
  yardwharf jobs wait j17
  yardwharf jobs graph j17 --dot | dot -Tsvg > jobs.svg`}
	c.PersistentFlags().StringVar(&server, "server", "", "ip:port of the job API")
	c.PersistentFlags().StringVarP(&form, "output", "o", "table", "form of the output: table or json")
	client := func() (*jobs.Client, error) {
		if form != "table" && form != "json" {
			return nil, fault{fmt.Errorf("--output: unknown %q, expected table or json", form)}
		}
		if server == "" {
			server = os.Getenv(serverVariable)
		}
		if server == "" {
			return nil, fault{fmt.Errorf("--server is missing, and $%s is not set", serverVariable)}
		}
		return jobs.NewClient(server), nil
	}
	show := func(list []jobs.Job, whole any) error {
		if form == "json" {
			text, err := json.MarshalIndent(whole, "", " ")
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(out, string(text))
			return err
		}
		return table(out, list)
	}
	one := func(use, short string, do func(*cobra.Command, *jobs.Client, string) (jobs.Job, error)) *cobra.Command {
		return &cobra.Command{Use: use + " JOB", Short: short, Args: exactly(1, "one job, like j17"),
			RunE: func(cmd *cobra.Command, args []string) error {
				c, err := client()
				if err != nil {
					return err
				}
				j, err := do(cmd, c, args[0])
				if err != nil {
					return err
				}
				return show([]jobs.Job{j}, j)
			}}
	}
	var subtree bool
	cancel := one("cancel", "End a job, and with --subtree all that come after it", func(cmd *cobra.Command, c *jobs.Client, id string) (jobs.Job, error) {
		return c.Cancel(cmd.Context(), id, subtree)
	})
	cancel.Flags().BoolVar(&subtree, "subtree", false, "all that come after it as well")
	wait := one("wait", "Wait for a job's end; the status is 0 if it was served, else 1", func(cmd *cobra.Command, c *jobs.Client, id string) (jobs.Job, error) {
		return c.Wait(cmd.Context(), id)
	})
	waits := wait.RunE
	wait.RunE = func(cmd *cobra.Command, args []string) error {
		if err := waits(cmd, args); err != nil {
			return err
		}
		c, err := client()
		if err != nil {
			return err
		}
		if j, err := c.Show(cmd.Context(), args[0]); err != nil {
			return err
		} else if j.State != "done" {
			return fmt.Errorf("%s is %s", j.ID, j.State)
		}
		return nil
	}
	c.AddCommand(submitCommand(client, show), listCommand(client, show, &form), graphCommand(out, client, &form),
		one("show", "Show a job", func(cmd *cobra.Command, c *jobs.Client, id string) (jobs.Job, error) {
			return c.Show(cmd.Context(), id)
		}),
		wait, cancel,
		one("hold", "Keep a job from being released", func(cmd *cobra.Command, c *jobs.Client, id string) (jobs.Job, error) {
			return c.Hold(cmd.Context(), id, true)
		}),
		one("release", "Let a held job go", func(cmd *cobra.Command, c *jobs.Client, id string) (jobs.Job, error) {
			return c.Hold(cmd.Context(), id, false)
		}))
	return c
}

func exactly(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return fault{fmt.Errorf("%s: %d arguments, expected %s", c.CommandPath(), len(args), what)}
		}
		return nil
	}
}

type (
	clientFunc = func() (*jobs.Client, error)
	showFunc   = func([]jobs.Job, any) error
)

func submitCommand(client clientFunc, show showFunc) *cobra.Command {
	var s jobs.Submit
	var file, notBefore, notAfter string
	var after, before []string
	c := &cobra.Command{Use: "submit", Short: "Submit a job, or a batch from a file: all or none", Args: exactly(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := client()
			if err != nil {
				return err
			}
			batch := []jobs.Submit{s}
			if file != "" {
				if batch, err = read(file); err != nil {
					return fault{err}
				}
			} else if err := fill(&batch[0], notBefore, notAfter, after, before); err != nil {
				return fault{err}
			}
			p, err := c.Submit(cmd.Context(), batch)
			if err != nil {
				return err
			}
			return show(p.Jobs, p)
		}}
	f := c.Flags()
	f.StringVar(&file, "file", "", "a JSON file with {\"jobs\": [...]} or a list of jobs; - is standard input")
	f.StringVar(&s.Class, "class", "", "the class")
	f.StringVar(&s.Target, "target", "", "what the job is about: what follows the class in the path")
	f.StringVar(&s.Body, "body", "", "what the sender is given")
	f.StringVar(&s.Key, "key", "", "your own name for it: submitting again gives the same job")
	f.BoolVar(&s.Held, "held", false, "it waits until it is let go")
	f.StringSliceVar(&after, "after", nil, "jobs that it comes after: j17, or j17=end for any end")
	f.StringSliceVar(&before, "before", nil, "jobs that wait and are to come after it")
	f.StringVar(&notBefore, "not-before", "", "when it may be released: RFC 3339, 22:15 (today or tomorrow), or a span like 90s")
	f.StringVar(&notAfter, "not-after", "", "when it expires unless released: the same")
	return c
}

// read reads a batch from a file.
func read(file string) ([]jobs.Submit, error) {
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(in)
	if err != nil {
		return nil, err
	}
	var list []jobs.Submit
	if strings.HasPrefix(strings.TrimSpace(string(text)), "[") {
		err = json.Unmarshal(text, &list)
	} else {
		var batch struct{ Jobs []jobs.Submit }
		err = json.Unmarshal(text, &batch)
		list = batch.Jobs
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return list, nil
}

func fill(s *jobs.Submit, notBefore, notAfter string, after, before []string) (err error) {
	if s.NotBefore, err = moment("--not-before", notBefore, time.Now()); err != nil {
		return err
	}
	if s.NotAfter, err = moment("--not-after", notAfter, time.Now()); err != nil {
		return err
	}
	link := func(words []string) (out []jobs.Link) {
		for _, w := range words {
			id, on, _ := strings.Cut(w, "=")
			out = append(out, jobs.Link{Job: id, On: on})
		}
		return out
	}
	s.After, s.Before = link(after), link(before)
	return nil
}

// moment reads a time as people write it.
func moment(flag, text string, now time.Time) (*time.Time, error) {
	if text == "" {
		return nil, nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return &t, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		t := now.Add(d)
		return &t, nil
	}
	if c, err := time.ParseInLocation("15:04", text, now.Location()); err == nil {
		t := time.Date(now.Year(), now.Month(), now.Day(), c.Hour(), c.Minute(), 0, 0, now.Location())
		if t.Before(now) {
			t = t.AddDate(0, 0, 1)
		}
		return &t, nil
	}
	return nil, fmt.Errorf("%s: %q is no time, expected RFC 3339, 22:15 or a span like 90s", flag, text)
}

func listCommand(client clientFunc, show showFunc, form *string) *cobra.Command {
	var state, class, key, after string
	var limit int
	c := &cobra.Command{Use: "list", Short: "List jobs, a page at a time", Args: exactly(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := client()
			if err != nil {
				return err
			}
			p, err := c.List(cmd.Context(), state, class, key, after, limit)
			if err != nil {
				return err
			}
			if err := show(p.Jobs, p); err != nil {
				return err
			}
			if p.Next != "" && *form == "table" { // JSON has it
				fmt.Fprintf(cmd.ErrOrStderr(), "there may be more: --after %s\n", p.Next)
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&state, "state", "", "waiting, ready, running, done, failed, refused, cancelled or expired")
	f.StringVar(&class, "class", "", "of this class")
	f.StringVar(&key, "key", "", "with this key")
	f.StringVar(&after, "after", "", "those after this one")
	f.IntVar(&limit, "limit", 100, "as many at the most")
	return c
}

func table(out io.Writer, list []jobs.Job) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tCLASS\tSTATE\tAGE\tTRIES\tAFTER\tKEY\tREASON")
	for _, j := range list {
		state := j.State
		if j.Held {
			state += " (held)"
		}
		var after []string
		for _, l := range j.After {
			after = append(after, l.Job)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\t%s\t%s\n", j.ID, j.Class, state, (time.Duration(j.AgeMS) * time.Millisecond).Round(time.Second),
			j.Tries, strings.Join(after, ","), j.Key, j.Reason)
	}
	return w.Flush()
}

func graphCommand(out io.Writer, client clientFunc, form *string) *cobra.Command {
	var dot bool
	c := &cobra.Command{Use: "graph JOB", Short: "Print a job with all that it comes after and that come after it", Args: exactly(1, "one job, like j17"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := client()
			if err != nil {
				return err
			}
			p, err := c.Graph(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			switch {
			case *form == "json":
				text, err := json.MarshalIndent(p, "", " ")
				if err != nil {
					return err
				}
				fmt.Fprintln(out, string(text))
			case dot:
				graphDot(out, p.Jobs)
			default:
				graphText(out, p.Jobs)
			}
			return nil
		}}
	c.Flags().BoolVar(&dot, "dot", false, "for Graphviz")
	return c
}

func graphDot(out io.Writer, list []jobs.Job) {
	colour := map[string]string{"done": "palegreen", "failed": "lightcoral", "refused": "lightcoral", "cancelled": "lightgrey",
		"expired": "lightgrey", "running": "lightblue", "ready": "khaki", "waiting": "white"}
	fmt.Fprintln(out, "digraph jobs {\n  node [shape=box, style=filled];")
	for _, j := range list {
		fmt.Fprintf(out, "  %s [label=%q, fillcolor=%s];\n", j.ID, j.ID+" "+j.Class+"\n"+j.State, colour[j.State])
		for _, l := range j.After {
			style := ""
			if l.On == "end" {
				style = " [style=dashed]"
			}
			fmt.Fprintf(out, "  %s -> %s%s;\n", l.Job, j.ID, style)
		}
	}
	fmt.Fprintln(out, "}")
}

// graphText prints each job below the first one that it comes after; one that comes
// after several is named again where it would stand.
func graphText(out io.Writer, list []jobs.Job) {
	byID, children := map[string]jobs.Job{}, map[string][]string{}
	for _, j := range list {
		byID[j.ID] = j
	}
	var roots []string
	for _, j := range list {
		known := false
		for _, l := range j.After {
			if _, there := byID[l.Job]; there {
				known = true
				children[l.Job] = append(children[l.Job], j.ID)
			}
		}
		if !known {
			roots = append(roots, j.ID)
		}
	}
	seen := map[string]bool{}
	var print func(id, indent string)
	print = func(id, indent string) {
		j := byID[id]
		if seen[id] {
			fmt.Fprintf(out, "%s%s (see above)\n", indent, id)
			return
		}
		seen[id] = true
		fmt.Fprintf(out, "%s%s %s %s", indent, id, j.Class, j.State)
		if j.Reason != "" {
			fmt.Fprintf(out, ": %s", j.Reason)
		}
		fmt.Fprintln(out)
		for _, c := range children[id] {
			print(c, indent+"  ")
		}
	}
	for _, id := range roots {
		print(id, "")
	}
}
