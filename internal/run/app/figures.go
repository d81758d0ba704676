package app

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"yardwharf/internal/decide/figures"
)

// Settings implements admin.Calls.
func (c calls) Settings() (string, error) { return string(c.p.config.Text), nil }

// Figures implements admin.Calls.
func (c calls) Figures() (string, error) {
	s := &c.p.config.Settings
	f := figures.Figures{Process: fmt.Sprint(os.Getpid()), Classes: map[string]figures.Counts{}, Worth: map[string]float64{}}
	for i, k := range c.p.dispatcher.Counts() {
		name := s.Classes[i].Name
		f.Worth[name] = s.Classes[i].Worth
		f.Classes[name] = figures.Counts{Taken: float64(k.Taken), InTime: float64(k.InTime), Late: float64(k.Late), Refused: float64(k.Refused),
			Failed: float64(k.Failed), Abandoned: float64(k.Left), DelaySum: k.Delay.Seconds(), Relays: float64(k.Relays), Crossed: float64(k.Crossed)}
	}
	if c.p.zones != nil {
		for zone, name := range s.Zones {
			if c.p.zones.fleet.Share(c.p.loop.Now(), zone) < 1 {
				f.ZonesLeft = append(f.ZonesLeft, name)
			}
		}
	}
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return "", fmt.Errorf("figures: %w", err)
	}
	f.CPU = (time.Duration(used.Utime.Nano()) + time.Duration(used.Stime.Nano())).Seconds()
	pages, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return "", fmt.Errorf("figures: %w", err)
	}
	var resident int
	if fields := strings.Fields(string(pages)); len(fields) > 1 {
		fmt.Sscan(fields[1], &resident)
	}
	f.Memory = float64(resident*os.Getpagesize()) / (1 << 20)
	text, err := json.Marshal(f)
	return string(text), err
}
