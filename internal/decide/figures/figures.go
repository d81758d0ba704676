// Package figures defines the statistics that a dispatcher process reports over HTTP.
package figures

// Counts are a dispatcher's message counts of one class since its process started, as
// reported by /ops/figures. Times are in seconds.
type Counts struct {
	Taken     float64 `json:"taken"`
	InTime    float64 `json:"in_time"`
	Late      float64 `json:"late"`
	Refused   float64 `json:"refused"`
	Failed    float64 `json:"failed"`
	Abandoned float64 `json:"left"`    // abandoned by their clients
	DelaySum  float64 `json:"delay_s"` // total of the messages served
	Relays    float64 `json:"relays"`
	Crossed   float64 `json:"crossed"`
}

// Answered returns the number of messages with an answer.
func (c *Counts) Answered() float64 { return c.InTime + c.Late + c.Refused + c.Failed }

// Add adds d if sign is 1, or subtracts it if sign is -1.
func (c *Counts) Add(d Counts, sign float64) {
	c.Taken += sign * d.Taken
	c.InTime += sign * d.InTime
	c.Late += sign * d.Late
	c.Refused += sign * d.Refused
	c.Failed += sign * d.Failed
	c.Abandoned += sign * d.Abandoned
	c.DelaySum += sign * d.DelaySum
	c.Relays += sign * d.Relays
	c.Crossed += sign * d.Crossed
}

// Figures are the statistics that a process reports.
type Figures struct {
	Process   string             `json:"process"` // unique to each process
	Classes   map[string]Counts  `json:"classes"`
	Worth     map[string]float64 `json:"worth"` // value of a message, by class
	CPU       float64            `json:"cpu_s"`
	Memory    float64            `json:"memory_mb"`
	ZonesLeft []string           `json:"zones_left,omitempty"` // zones that are left or returning
}
