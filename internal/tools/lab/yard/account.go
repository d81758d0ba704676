// Package yard is the laboratory's model of what surrounds dispatchers: hosts, sites,
// clients and discovery, with their failures. It does no I/O; times come from a clock
// that its driver runs.
package yard

import (
	"maps"
	"slices"
	"time"
)

// Account is what an operator tells of a deployment.
type Account struct {
	StartCapacity         float64 // of a host that has just started
	WarmUp                time.Duration
	OverloadFactor        float64 // sent more than so many times what it can do at that moment ...
	OverloadFor           time.Duration
	DrainGrace            time.Duration
	MostAttempts          int
	Retries               int           // by clients
	CrossLeast, CrossMost time.Duration // one way between sites
	HomeDelay             time.Duration // of ours: one way within a site
	FrontLeast, FrontMost time.Duration // it goes on sending to a dead dispatcher
	Queue                 float64       // jobs that may wait, for each core
	Backfill              bool          // any waiting job that fits may start, else the first waits until it does
	CancelStops           bool          // a cancel ends the work
	Kinds                 []Kind
	Classes               []Class
	Tenants               []Tenant // none: there is one without a name
	OverShare             float64  // worth of what is beyond a tenant's share

	// What dispatchers may do beside. Reports come with probes.
	Probes              bool
	Refresh             time.Duration // of reports
	ProbePrice          float64       // as worth of a request
	TalkPrice           float64       // of 256 bytes, as worth of a request
	Talk                bool
	TalkLeast, TalkMost time.Duration
	TalkLost            float64 // of ours: part of the messages
}

// Kind is a model of host.
type Kind struct {
	Name           string
	Share          float64
	Cores          float64
	SpeedLo, Speed float64 // least and most, of the yardstick
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Share float64
}

// Effect says how often a class may run.
type Effect uint8

// The effects.
const (
	Safe Effect = iota
	Keyed
	Once
)

// Class is a class of requests.
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

// Accounts are those that the laboratory knows, by name.
func Accounts() map[string]func() *Account {
	return map[string]func() *Account{"ferreira": Ferreira, "sofia": Sofia}
}

// Names are the accounts' names.
func Names() []string { return slices.Sorted(maps.Keys(Accounts())) }

// Ferreira is the account in BRIEF: "The rules in figures" (cold hosts), "Information and
// limits" (attempts), "What clients do", "Fleet and traffic" (delays, front), "Servers",
// "Request classes".
func Ferreira() *Account {
	ms := time.Millisecond
	return &Account{
		StartCapacity: 0.13, WarmUp: 24 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second, DrainGrace: 500 * ms,
		MostAttempts: 5, Retries: 2, CrossLeast: 5600 * time.Microsecond, CrossMost: 10 * ms, HomeDelay: 300 * time.Microsecond,
		FrontLeast: 840 * ms, FrontMost: 3800 * ms, Queue: 2, CancelStops: true,
		Kinds: []Kind{{"std-4c", 0.46, 4, 0.85, 1.1}, {"dense-5c", 0.54, 5, 0.64, 0.86}},
		Classes: []Class{
			{"status-check", 0.31, 87 * ms, 170 * ms, []float64{1}, 60 * ms, 2.5, 5 * time.Second, 5, Safe, 0},
			{"audience-preview", 0.29, 350 * ms, 670 * ms, []float64{1, 2}, 400 * ms, 2, 6 * time.Second, 2, Safe, 0},
			{"send-alert", 0.24, 350 * ms, 670 * ms, []float64{1, 2}, 150 * ms, 2.5, 6 * time.Second, 5, Once, 0},
			{"campaign-batch", 0.16, 350 * ms, 670 * ms, []float64{1, 2, 4}, 250 * ms, 2, 6 * time.Second, 3, Keyed, 10 * time.Second},
		},
	}
}

// Sofia is the account in USER: "The rules in figures", "Information and limits", "What clients
// do", "Fleet and traffic", "Servers" (a cancel stops nothing), "Request classes", "Customers",
// "List workers in detail", "Deductions".
func Sofia() *Account {
	ms := time.Millisecond
	return &Account{
		StartCapacity: 0.17, WarmUp: 22 * time.Second, OverloadFactor: 3, OverloadFor: 2 * time.Second, DrainGrace: 2 * time.Second,
		MostAttempts: 5, Retries: 1, CrossLeast: 420 * time.Microsecond, CrossMost: 780 * time.Microsecond, HomeDelay: 200 * time.Microsecond,
		FrontLeast: 2100 * ms, FrontMost: 4 * time.Second, Queue: 12, Backfill: true,
		Kinds: []Kind{{"full-speed", 0.57, 5, 0.85, 1.1}, {"slow-box", 0.43, 5, 0.51, 0.69}},
		Classes: []Class{
			{"list-lookup", 0.29, 160 * ms, 300 * ms, []float64{1}, 120 * ms, 2, 5 * time.Second, 2, Safe, 0},
			{"hearing-book", 0.29, 310 * ms, 610 * ms, []float64{1, 1, 1, 2, 4}, 150 * ms, 1.75, 5 * time.Second, 10, Once, 0},
			{"list-publish", 0.22, 940 * ms, 1800 * ms, []float64{1, 1, 1, 2, 4}, time.Second, 1.75, 15 * time.Second, 5, Once, 0},
			{"hearing-move", 0.2, 310 * ms, 610 * ms, []float64{1, 1, 1, 1, 2}, 400 * ms, 2, 5 * time.Second, 8, Once, 0},
		},
		Tenants:   []Tenant{{"sofia-city", 0.24}, {"plovdiv", 0.23}, {"varna", 0.16}, {"burgas", 0.12}, {"ruse", 0.09}, {"stara-zagora", 0.09}, {"pleven", 0.07}},
		OverShare: 0.2, Probes: true, Refresh: 870 * ms, ProbePrice: 0.0014, Talk: true, TalkPrice: 0.01, TalkLeast: 1100 * time.Microsecond, TalkMost: 9800 * time.Microsecond, TalkLost: 0.05,
	}
}
