// Package figures is what a dispatcher's process tells of what it has done, at its door.
package figures

// Counts are what a dispatcher has done with the messages of one class since its process
// began, as /ops/figures tells. Times are in seconds.
type Counts struct {
	Taken   float64 `json:"taken"`
	InTime  float64 `json:"in_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Left    float64 `json:"left"`    // by clients
	Delay   float64 `json:"delay_s"` // of those served, added up
	Relays  float64 `json:"relays"`
	Crossed float64 `json:"crossed"`
}

// Ended is how many have had an answer.
func (c *Counts) Ended() float64 { return c.InTime + c.Late + c.Refused + c.Failed }

// Add adds others, or takes them off where sign is -1.
func (c *Counts) Add(d Counts, sign float64) {
	c.Taken += sign * d.Taken
	c.InTime += sign * d.InTime
	c.Late += sign * d.Late
	c.Refused += sign * d.Refused
	c.Failed += sign * d.Failed
	c.Left += sign * d.Left
	c.Delay += sign * d.Delay
	c.Relays += sign * d.Relays
	c.Crossed += sign * d.Crossed
}

// Figures are what a process tells of itself.
type Figures struct {
	Process string             `json:"process"` // tells processes apart
	Classes map[string]Counts  `json:"classes"`
	Worth   map[string]float64 `json:"worth"` // of a message of each class
	CPU     float64            `json:"cpu_s"`
	Memory  float64            `json:"memory_mb"`
	Trouble []string           `json:"zones_left,omitempty"` // zones that are left or return
}
