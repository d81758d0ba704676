package serviceyard

import (
	"fmt"
	"slices"
	"time"

	"yardwharf/internal/tools/standin/receiver"
	"yardwharf/internal/tools/standin/worker"
)

// Bounds of the rules.
const (
	ceilingWindow    = 5 * time.Second
	ceilingOvershoot = 1.1
	earlyMost        = 100 * time.Millisecond
)

// Unfinished returns the accepted messages that have not succeeded.
func Unfinished(accepted []Accepted, ledger *worker.Ledger) []string {
	var ids []string
	for _, m := range accepted {
		if ledger.Seal(m.ID) == "" {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// WithoutCallback returns the accepted messages whose call-back is still owed.
func WithoutCallback(accepted []Accepted, taken *receiver.Receiver) []string {
	var ids []string
	for _, m := range accepted {
		if m.Callback != "" && len(taken.Taken(m.ID)) == 0 {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// OrderFaults lists where a message of a key began before an earlier accepted
// one of that key had succeeded.
func OrderFaults(accepted []Accepted, runs []worker.Run) []string {
	place := map[string]int{}
	for i, m := range accepted {
		if m.Key != "" {
			place[m.ID] = i
		}
	}
	ended := map[string]time.Time{} // of successes
	for _, run := range runs {
		if run.Seal != "" {
			ended[run.ID] = run.Ended
		}
	}
	var faults []string
	for _, run := range runs {
		last, ordered := place[run.ID]
		if !ordered {
			continue
		}
		for _, earlier := range accepted[:last] {
			end, done := ended[earlier.ID]
			if earlier.Key == run.Key && (!done || end.After(run.Began)) {
				faults = append(faults, fmt.Sprintf("%s of key %s began before %s had succeeded", run.ID, run.Key, earlier.ID))
			}
		}
	}
	return faults
}

// EarlyFaults lists the messages that ran before their delay had passed.
func EarlyFaults(accepted []Accepted, runs []worker.Run) []string {
	due := map[string]time.Time{}
	for _, m := range accepted {
		due[m.ID] = m.SentAt.Add(m.Delay - earlyMost)
	}
	var faults []string
	for _, run := range runs {
		if at, known := due[run.ID]; known && run.Began.Before(at) {
			faults = append(faults, fmt.Sprintf("%s ran %v early", run.ID, at.Sub(run.Began)))
		}
	}
	return faults
}

// RateFault tells where more requests came in a window than a rate allows; empty
// where there is none.
func RateFault(arrivals []time.Time, ratePerS float64) string {
	slices.SortFunc(arrivals, time.Time.Compare)
	most := int(ratePerS*ceilingWindow.Seconds()*ceilingOvershoot) + 1
	first := 0
	for i, arrival := range arrivals {
		for arrival.Sub(arrivals[first]) > ceilingWindow {
			first++
		}
		if count := i - first + 1; count > most {
			return fmt.Sprintf("%d requests within %v, where %d are allowed", count, ceilingWindow, most)
		}
	}
	return ""
}

// CallbackFaults lists the call-backs that tell of another end than the
// message's.
func CallbackFaults(accepted []Accepted, ledger *worker.Ledger, taken *receiver.Receiver) []string {
	var faults []string
	for _, m := range accepted {
		for _, callback := range taken.Taken(m.ID) {
			if callback.State != "completed" || callback.Stamp != ledger.Seal(m.ID) {
				faults = append(faults, fmt.Sprintf("%s: call-back with state %s and seal %q", m.ID, callback.State, callback.Stamp))
			}
		}
	}
	return faults
}
