// Package xdshelper is the program that speaks xDS for a dispatcher (cmd/yardxds):
// it joins a client of the protocol to the line that the dispatcher listens on.
package xdshelper

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"yardwharf/internal/carry/xds"
	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/membership"
)

// Run speaks xDS as the first line of in says, until in ends. It is for a
// dispatcher to start, not for people.
func Run(in io.Reader, out io.Writer) error {
	lines := json.NewDecoder(bufio.NewReader(in))
	var first xdslink.ToHelper
	if err := lines.Decode(&first); err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	if first.Config == nil {
		return errors.New("the first line is no configuration: the dispatcher starts this program, with what the operator's file says")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &teller{out: json.NewEncoder(out), fail: cancel}
	client := xds.NewClient(*first.Config, first.Base, t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	for {
		var m xdslink.ToHelper
		if err := lines.Decode(&m); errors.Is(err, io.EOF) {
			return nil // the dispatcher has gone
		} else if err != nil {
			return fmt.Errorf("reading what the dispatcher says: %w", err)
		}
		switch {
		case m.Verdict != nil && m.Verdict.Again:
			client.Again(m.Verdict.N)
		case m.Verdict != nil:
			client.Verdict(m.Verdict.N, m.Verdict.Reason, m.Verdict.Old)
		case m.Accepted != nil:
			client.Accepted(*m.Accepted)
		case m.Kick:
			client.Kick()
		}
	}
}

// teller tells the dispatcher. It is called from one goroutine.
type teller struct {
	out  *json.Encoder
	fail func()
}

func (t *teller) say(m xdslink.FromHelper) {
	if t.out.Encode(&m) != nil {
		t.fail()
	}
}

// Up implements xds.Handler, as the rest.
func (t *teller) Up(server string)   { t.say(xdslink.FromHelper{Up: server}) }
func (t *teller) Down(err error)     { t.say(xdslink.FromHelper{Down: err.Error()}) }
func (t *teller) Refused(why string) { t.say(xdslink.FromHelper{Refused: why}) }
func (t *teller) Deliver(n uint64, u *membership.Update) {
	t.say(xdslink.FromHelper{N: n, Update: u})
}
