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

const requestTimeout = 3 * time.Second

// statusFormat is the output format of reports.
type statusFormat uint8

const (
	formatText statusFormat = iota
	formatJSON
	formatMetrics
)

// statusResult is the report or error of one process.
type statusResult struct {
	report status.Report
	err    error
}

// runStatus requests the reports of processes concurrently and prints them in
// the order of the arguments.
func runStatus(addresses []string, format statusFormat, out, errors io.Writer) int {
	results := make([]statusResult, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			results[i].report, results[i].err = status.Ask(ctx, address)
		})
	}
	calls.Wait()
	code := exitSuccess
	reports := []status.Report{}
	for i, result := range results {
		if result.err != nil {
			fmt.Fprintf(errors, "yardservice: %s: %v\n", addresses[i], result.err)
			code = exitFailure
			continue
		}
		reports = append(reports, result.report)
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

// runMessage requests the report of a message from a process and prints it.
func runMessage(id, address string, asJSON bool, out, errors io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
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
