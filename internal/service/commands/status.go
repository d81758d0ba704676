package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"yardwharf/internal/service/status"
)

const askTimeout = 3 * time.Second

// statusFormat is how reports are printed.
type statusFormat uint8

const (
	formatText statusFormat = iota
	formatJSON
	formatMetrics
)

// answer is what one process answered.
type answer struct {
	report status.Report
	err    error
}

// runStatus asks processes for their reports, all at once, and prints them in
// the order of the arguments.
func runStatus(addresses []string, format statusFormat, out, errors io.Writer) int {
	answers := make([]answer, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			answers[i].report, answers[i].err = status.Ask(ctx, address)
		})
	}
	calls.Wait()
	code := exitSuccess
	reports := []status.Report{}
	for i, answer := range answers {
		if answer.err != nil {
			fmt.Fprintf(errors, "yardservice: %s: %v\n", addresses[i], answer.err)
			code = exitFailure
			continue
		}
		reports = append(reports, answer.report)
	}
	if err := printReports(reports, format, out); err != nil {
		fmt.Fprintln(errors, "yardservice:", err)
		return exitFailure
	}
	return code
}

func printReports(reports []status.Report, format statusFormat, out io.Writer) error {
	if format == formatJSON {
		return printJSON(out, reports)
	}
	for _, report := range reports {
		if format == formatMetrics {
			status.PrintMetrics(out, report)
		} else {
			status.Print(out, report)
		}
	}
	return nil
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// runMessage asks a process for a message and prints what it knows.
func runMessage(id, address string, asJSON bool, out, errors io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	report, err := status.AskMessage(ctx, address, id)
	if err == nil && asJSON {
		err = printJSON(out, report)
	}
	if err != nil {
		fmt.Fprintf(errors, "yardservice: %s: %v\n", address, err)
		return exitFailure
	}
	if !asJSON {
		status.PrintMessage(out, report)
	}
	if !report.Found {
		return exitFailure
	}
	return exitSuccess
}
