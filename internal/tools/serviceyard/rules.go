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
	applyTime        = 3 * time.Second // after its acknowledgement a configuration counts
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

// order is a configuration that was sent.
type order struct {
	revision     int64
	sent         time.Time
	acknowledged time.Time // zero: it may or may not be in force
}

// ServiceFaults lists the runs at a service to which no revision that counted then leads
// the plain route, however long the message had waited.
func ServiceFaults(runs []worker.Run, orders []order, calm func(from, until time.Time) bool) []string {
	var faults []string
	for _, run := range runs {
		if run.Service != plainService && run.Service != otherService || !calm(run.Began, run.Began) {
			continue
		}
		newest, oldest := int64(1), int64(1)
		for _, o := range orders {
			if o.sent.Before(run.Began) {
				newest = max(newest, o.revision)
			}
			if !o.acknowledged.IsZero() && o.acknowledged.Add(applyTime).Before(run.Began) {
				oldest = max(oldest, o.revision)
			}
		}
		allowed := false
		for revision := oldest; revision <= newest && !allowed; revision++ {
			allowed = plainServiceOf(revision) == run.Service
		}
		if !allowed {
			faults = append(faults, fmt.Sprintf("CONFIG: %s ran at %s, revision %d counted", run.ID, run.Service, oldest))
		}
	}
	return faults
}

// RepeatFaults lists the messages that were sent again after a success, in a calm time.
func RepeatFaults(runs []worker.Run, repeats []worker.Repeat, calm func(from, until time.Time) bool) []string {
	succeeded := map[string]worker.Run{}
	for _, run := range runs {
		if run.Seal != "" {
			succeeded[run.ID] = run
		}
	}
	var faults []string
	for _, repeat := range repeats {
		run := succeeded[repeat.ID]
		if calm(run.Began, repeat.At) {
			faults = append(faults, fmt.Sprintf("TWICE: %s was sent again %v after its success", repeat.ID, repeat.At.Sub(run.Ended).Round(time.Millisecond)))
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
