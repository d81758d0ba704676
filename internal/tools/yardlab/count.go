package yardlab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"yardwharf/internal/tools/lab/count"
)

// countCommand adds the logs of many dispatchers up by second.
func countCommand(out, log io.Writer) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "count LOGDIR", Short: "Add the logs of many dispatchers up by second",
		Long: `Read each *.log file of a folder and of the folders in it, and print how often the
things happened that the logs tell of, over all dispatchers and by second. A line that is cut off
counts for nothing and is told. Interrupted, it prints what it has and says that it is partial.`,
		Example: "  yardlab count logs\n  yardlab count --json logs > count.json",
		Args:    exactly(1, "one folder"),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := countLogs(c.Context(), args[0])
			if err != nil {
				return err
			}
			if asJSON {
				text, err := json.MarshalIndent(t, "", " ")
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(out, string(text))
				return err
			}
			printCount(out, t)
			if t.Unreadable+t.Plain > 0 {
				fmt.Fprintf(log, "yardlab: passed over %d lines that are cut off or garbled and %d that are plain text\n", t.Unreadable, t.Plain)
			}
			if t.Partial {
				fmt.Fprintln(log, "yardlab: interrupted: the count is partial")
				return errTold
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// countLogs counts the logs of a folder. A folder without any is an error: a table
// of zeros would pass for a quiet fleet.
func countLogs(ctx context.Context, folder string) (count.Table, error) {
	counter, files, partial := count.New(), 0, false
	err := filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case ctx.Err() != nil:
			partial = true
			return fs.SkipAll
		case e.IsDir() || !strings.HasSuffix(path, ".log"):
			return nil
		}
		files++
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := counter.Add(f); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		return nil
	})
	if err != nil {
		return count.Table{}, err
	}
	if files == 0 && !partial {
		return count.Table{}, fmt.Errorf("%s: no *.log file in it", folder)
	}
	t, err := counter.Table()
	if err != nil {
		return t, fmt.Errorf("%s: %w", folder, err)
	}
	t.Partial = partial
	return t, nil
}

// printCount prints the columns in which anything happened.
func printCount(out io.Writer, t count.Table) {
	total := make([]int, len(t.Columns))
	for _, r := range t.Rows {
		for i, n := range r.Counts {
			total[i] += n
		}
	}
	row := func(first string, cell func(i int) string) {
		fmt.Fprintf(out, "%6s", first)
		for i, name := range t.Columns {
			if total[i] > 0 {
				fmt.Fprintf(out, "  %*s", max(len(name), 6), cell(i))
			}
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%d dispatchers, %d lines, from %s on\n", t.Dispatchers, t.Lines, t.Began.UTC().Format("2006-01-02 15:04:05"))
	row("second", func(i int) string { return t.Columns[i] })
	for _, r := range t.Rows {
		row(fmt.Sprint(r.Second), func(i int) string { return fmt.Sprint(r.Counts[i]) })
	}
	row("all", func(i int) string { return fmt.Sprint(total[i]) })
}
