// Package discovery reads the platform's list of senders. One control member
// at a time reads it for all; the others stand by.
package discovery

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

// Class is the error class of this package.
var Class = errs.Class("discovery")

// ErrRateLimited reports that the platform rejected a call because of its rate limit.
var ErrRateLimited = Class.New("platform API rate limit exceeded")

const (
	maxPages     = 500                    // of one list
	maxListBytes = transport.MaxFrame / 2 // of all senders, which travel in one frame with other updates
	maxSlots     = 1 << 20                // of one sender
	maxWarmup    = time.Hour
)

// Page is one page of the platform's list.
type Page struct {
	Instances []Instance `json:"instances"`
	NextToken *string    `json:"nextToken"`

	unreadable []error // why entries could not be read
}

// UnmarshalJSON decodes a page. An entry that cannot be read does not concern the others.
func (p *Page) UnmarshalJSON(text []byte) error {
	var raw struct {
		Instances []json.RawMessage `json:"instances"`
		NextToken *string           `json:"nextToken"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return err
	}
	*p = Page{NextToken: raw.NextToken}
	if raw.Instances != nil {
		p.Instances = make([]Instance, 0, len(raw.Instances))
	}
	for _, entry := range raw.Instances {
		var instance Instance
		if err := json.Unmarshal(entry, &instance); err != nil {
			p.unreadable = append(p.unreadable, Class.Wrap(err))
			continue
		}
		p.Instances = append(p.Instances, instance)
	}
	return nil
}

// Instance is one entry of a page.
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

// stateReady is the only state in which a sender accepts new requests; any
// other state is treated as draining.
const stateReady = "ready"

// check returns an error if the entry cannot be used.
func (i Instance) check() error {
	if i.ID == "" {
		return Class.New("an entry has no id")
	}
	for _, text := range [...]string{i.ID, i.Service, i.Address, i.Zone, i.Revision} {
		if len(text) > protocol.MaxNameBytes {
			return Class.New("entry %.40q: a text of %d bytes", i.ID, len(text))
		}
	}
	if i.Slots < 0 || i.Slots > maxSlots {
		return Class.New("entry %.40q: %d slots", i.ID, i.Slots)
	}
	return nil
}

func (i Instance) sender() view.Sender {
	return view.Sender{
		ID: i.ID, Service: i.Service, Address: i.Address, Zone: i.Zone, Revision: i.Revision, Slots: i.Slots,
		Draining:   i.State != stateReady,
		WarmupLeft: time.Duration(min(max(0, i.WarmupLeftMs*float64(time.Millisecond)), float64(maxWarmup))),
	}
}

// List is the result of reading all pages.
type List struct {
	Senders   []view.Sender
	Pages     int
	StartedAt time.Time // before the first page was requested
	LeftOut   leftOut
}

// leftOut tells of the entries of a list that are left out because they cannot be used.
type leftOut struct {
	count int
	cause error // of the first one
}

func (l *leftOut) add(cause error) {
	if l.count == 0 {
		l.cause = cause
	}
	l.count++
}

// pageCollector collects the pages of one list.
type pageCollector struct {
	pages   int
	tokens  map[string]bool
	senders map[string]view.Sender
	leftOut leftOut
}

func newPageCollector() *pageCollector {
	return &pageCollector{tokens: map[string]bool{}, senders: map[string]view.Sender{}}
}

// add adds a page and returns the token of the next one, or "" after the last. Entries that cannot be used are left out,
// but a list in which no entry can be used is an error.
func (r *pageCollector) add(page Page) (next string, err error) {
	r.pages++
	for _, cause := range page.unreadable {
		r.leftOut.add(cause)
	}
	for _, instance := range page.Instances {
		if err := instance.check(); err != nil {
			r.leftOut.add(err)
			continue
		}
		r.senders[instance.ID] = r.mergeDuplicate(instance.sender())
	}
	if page.NextToken == nil || *page.NextToken == "" {
		if len(r.senders) == 0 && r.leftOut.count > 0 {
			return "", Class.New("none of %d entries can be used: %w", r.leftOut.count, r.leftOut.cause)
		}
		return "", nil
	}
	next = *page.NextToken
	if r.tokens[next] || r.pages >= maxPages {
		return "", Class.New("the list has no end after %d pages", r.pages)
	}
	r.tokens[next] = true
	return next, nil
}

// mergeDuplicate returns the entry to keep if the list shifted between two pages and
// a sender appears twice. The sender counts as draining if either entry says so.
func (r *pageCollector) mergeDuplicate(sender view.Sender) view.Sender {
	if earlier, twice := r.senders[sender.ID]; twice {
		sender.Draining = sender.Draining || earlier.Draining
	}
	return sender
}

// list returns the senders of all pages, sorted by ID, as many as fit into a frame.
func (r *pageCollector) list() []view.Sender {
	list := make([]view.Sender, 0, len(r.senders))
	for _, sender := range r.senders {
		list = append(list, sender)
	}
	view.SortSenders(list)
	size := 0
	for i := range list {
		if size += list[i].MaxEncodedBytes(); size > maxListBytes {
			for range list[i:] {
				r.leftOut.add(Class.New("the list has over %d bytes", maxListBytes))
			}
			return list[:i:i]
		}
	}
	return list
}

// omissionFilter guards against senders that are missing because the list shifted
// between two page reads: a known sender is dropped only when two consecutive lists
// lack it. A list of a single page cannot shift and is used as it is.
type omissionFilter struct{ missedOnce map[string]bool }

// complete returns the senders of a list, plus the known senders that are missing for
// the first time.
func (o *omissionFilter) complete(list List, known []view.Sender) []view.Sender {
	listed := make(map[string]bool, len(list.Senders))
	for _, sender := range list.Senders {
		listed[sender.ID] = true
	}
	missedOnce := map[string]bool{}
	senders := list.Senders
	for _, sender := range known {
		if listed[sender.ID] || list.Pages < 2 || o.missedOnce[sender.ID] {
			continue
		}
		missedOnce[sender.ID] = true
		senders = append(senders, sender)
	}
	o.missedOnce = missedOnce
	view.SortSenders(senders)
	return senders
}
