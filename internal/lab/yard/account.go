// Package yard is the laboratory's model of what surrounds dispatchers: hosts, sites,
// clients and discovery, with their failures. It does no I/O; times come from a clock
// that its driver runs.
package yard

import "time"

// The figures of the account (BRIEF), each from the section that is named.
const (
	StartCapacity  = 0.13             // "The rules in figures": starts at 13% of its capacity or more
	WarmUp         = 24 * time.Second // the same: warm within 24 s
	OverloadFactor = 4.0              // the same: sent more than 4 times what it can do at that moment
	OverloadFor    = 2 * time.Second  // the same: for 2 s
	DrainGrace     = 500 * time.Millisecond
	MostAttempts   = 5                       // "Information and limits"
	Retries        = 2                       // "What clients do"
	CrossLeast     = 5600 * time.Microsecond // "Fleet and traffic": one way between sites
	CrossMost      = 10 * time.Millisecond
	HomeDelay      = 300 * time.Microsecond // of ours: one way within a site
	FrontLeast     = 840 * time.Millisecond // "Fleet and traffic": it goes on sending to a dead dispatcher
	FrontMost      = 3800 * time.Millisecond
)

// Kind is a model of host ("Servers").
type Kind struct {
	Name           string
	Share          float64
	Cores          float64
	SpeedLo, Speed float64 // least and most, of the yardstick
}

// Kinds are the models of hosts.
func Kinds() []Kind {
	return []Kind{{"std-4c", 0.46, 4, 0.85, 1.1}, {"dense-5c", 0.54, 5, 0.64, 0.86}}
}

// Effect says how often a class may run.
type Effect uint8

// The effects.
const (
	Safe Effect = iota
	Keyed
	Once
)

// Class is a class of requests ("Request classes").
type Class struct {
	Name        string
	Share       float64
	Least, Most time.Duration // of the mean running time, of which a day draws one
	Slots       []float64     // it takes one of these
	Aim         time.Duration
	Stretch     float64
	Patience    time.Duration
	Worth       float64
	Effect      Effect
	KeyTime     time.Duration // hosts of one site drop a repeat for so long
}

// Classes are the classes of requests.
func Classes() []Class {
	ms := time.Millisecond
	return []Class{
		{"status-check", 0.31, 87 * ms, 170 * ms, []float64{1}, 60 * ms, 2.5, 5 * time.Second, 5, Safe, 0},
		{"audience-preview", 0.29, 350 * ms, 670 * ms, []float64{1, 2}, 400 * ms, 2, 6 * time.Second, 2, Safe, 0},
		{"send-alert", 0.24, 350 * ms, 670 * ms, []float64{1, 2}, 150 * ms, 2.5, 6 * time.Second, 5, Once, 0},
		{"campaign-batch", 0.16, 350 * ms, 670 * ms, []float64{1, 2, 4}, 250 * ms, 2, 6 * time.Second, 3, Keyed, 10 * time.Second},
	}
}
