package app

import (
	"yardwharf/internal/admin"
)

// calls is what operators can ask of a program.
type calls struct{ p *program }

var _ admin.Calls = calls{}

// Serving implements admin.Calls.
func (c calls) Serving() bool { return !c.p.leaving && c.p.fleet.Fit() > 0 }

// Drain implements admin.Calls.
func (c calls) Drain(on bool) error {
	c.p.draining = on
	c.p.settle()
	return nil
}

// Down implements admin.Calls.
func (c calls) Down(string) error { return admin.ErrUnknown }

// Up implements admin.Calls.
func (c calls) Up(string) error { return admin.ErrUnknown }

// settle makes the front do as things are.
func (p *program) settle() {
	p.front.SetReady(!p.leaving && !p.draining && p.fleet.Usable() > 0)
	p.front.SetAway(p.draining)
}
