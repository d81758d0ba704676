// Package discovery reads the platform's list of senders. At any time one
// control member reads it for all; the others stand by.
package discovery

import (
	"time"

	"github.com/zeebo/errs"

	"yardwharf/internal/service/view"
)

// Class is the class of errors that this package makes.
var Class = errs.Class("discovery")

// ErrThrottled says that the platform refused a call for its rate.
var ErrThrottled = Class.New("over the platform's rate of calls")

// pagesMost bounds the pages of one list.
const pagesMost = 500

// Page is one page of the platform's list.
type Page struct {
	Instances []Instance `json:"instances"`
	NextToken *string    `json:"nextToken"`
}

// Instance is one entry of the platform's list.
type Instance struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Revision     string  `json:"revision"`
	Slots        int     `json:"slots"`
	State        string  `json:"state"`
	WarmupLeftMs float64 `json:"warmupLeftMs"`
}

// stateReady is the only state in which a sender takes new requests; any
// other is treated as draining.
const stateReady = "ready"

func (i Instance) sender() view.Sender {
	return view.Sender{
		ID: i.ID, Service: i.Service, Address: i.Address, Zone: i.Zone, Revision: i.Revision, Slots: i.Slots,
		Draining:   i.State != stateReady,
		WarmupLeft: time.Duration(i.WarmupLeftMs * float64(time.Millisecond)),
	}
}

// List is a list that was read whole.
type List struct {
	Senders []view.Sender
	Pages   int
	Began   time.Time // before the first page was asked for
}

// reading collects the pages of one list.
type reading struct {
	pages   int
	tokens  map[string]bool
	senders map[string]view.Sender
}

func newReading() *reading {
	return &reading{tokens: map[string]bool{}, senders: map[string]view.Sender{}}
}

// add takes a page and returns the token of the next, or "" after the last.
func (r *reading) add(page Page) (next string, err error) {
	r.pages++
	for _, instance := range page.Instances {
		if instance.ID == "" {
			return "", Class.New("an entry of page %d has no id", r.pages)
		}
		r.senders[instance.ID] = r.merged(instance.sender())
	}
	if page.NextToken == nil || *page.NextToken == "" {
		return "", nil
	}
	next = *page.NextToken
	if r.tokens[next] || r.pages >= pagesMost {
		return "", Class.New("the list has no end after %d pages", r.pages)
	}
	r.tokens[next] = true
	return next, nil
}

// merged returns the entry to keep where the list shifted between two pages
// and a sender came twice: no sender goes back from draining.
func (r *reading) merged(sender view.Sender) view.Sender {
	if earlier, twice := r.senders[sender.ID]; twice {
		sender.Draining = sender.Draining || earlier.Draining
	}
	return sender
}

// list returns the senders of all pages in the order of their ids.
func (r *reading) list() []view.Sender {
	list := make([]view.Sender, 0, len(r.senders))
	for _, sender := range r.senders {
		list = append(list, sender)
	}
	view.SortSenders(list)
	return list
}

// omissions guards against senders that slip through between two pages of a
// list that shifts while it is read: one that was known is dropped only when
// two lists in a row lack it. A list of one page is taken at its word.
type omissions struct{ once map[string]bool }

// complete returns a list with the known senders that it lacks for the first time.
func (o *omissions) complete(list List, known []view.Sender) []view.Sender {
	listed := make(map[string]bool, len(list.Senders))
	for _, sender := range list.Senders {
		listed[sender.ID] = true
	}
	once := map[string]bool{}
	senders := list.Senders
	for _, sender := range known {
		if listed[sender.ID] || list.Pages < 2 || o.once[sender.ID] {
			continue
		}
		once[sender.ID] = true
		senders = append(senders, sender)
	}
	o.once = once
	view.SortSenders(senders)
	return senders
}
