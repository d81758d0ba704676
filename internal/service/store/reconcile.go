package store

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/network"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

const (
	sliceEntries     = 8192 // messages of one source in one slice, about
	fetchBatch       = 512  // ends in one question
	fetchParallel    = 8    // bodies that are read at once
	fetchTimeout     = 2 * time.Second
	probeTimeout     = 600 * time.Millisecond
	reconcileAgain   = 100 * time.Millisecond // after an attempt that could not end
	lookAgainMost    = 256                    // so few missing messages are looked at again
	lookAgainAfter   = 50 * time.Millisecond  // in which messages on their way arrive
	reconcileSources = 4096                   // more are refused
	reconcileWait    = 300 * time.Millisecond // an answer waits so long for the end of a run
)

// reconciler works off the order to reconcile, one at a time: it compares what
// the full disks hold, and copies to this store what stands at too few.
type reconciler struct {
	store    *store
	network  network.Network
	identity protocol.Identity
	log      logr.Logger

	mutex sync.Mutex
	order protocol.Reconcile
	reply protocol.ReconcileReply
	stop  context.CancelFunc
	ended chan struct{} // closed when the order in hand is worked off
}

func newReconciler(s *store, on network.Network, identity protocol.Identity, log logr.Logger) *reconciler {
	return &reconciler{store: s, network: on, identity: identity, log: log, stop: func() {}}
}

// close ends what is under way.
func (r *reconciler) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stop()
}

// take takes an order, unless it is the one in hand, and tells how far it is, once it
// is worked off or a while later. An order that ended with messages missing is begun
// anew when it comes again: other stores may have copied them meanwhile.
func (r *reconciler) take(ctx context.Context, order protocol.Reconcile) (protocol.ReconcileReply, error) {
	if len(order.Sources) > reconcileSources || order.Reads < 1 {
		return protocol.ReconcileReply{}, Class.New("reconcile: %d sources, %d to be read", len(order.Sources), order.Reads)
	}
	r.mutex.Lock()
	if !reflect.DeepEqual(order, r.order) {
		r.begin(order)
	}
	ended := r.ended
	r.mutex.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(reconcileWait):
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !reflect.DeepEqual(order, r.order) {
		return protocol.ReconcileReply{StoreID: r.store.log.StoreID()}, nil // another order has replaced it
	}
	reply := r.reply
	if reply.Done && reply.Missing > 0 {
		r.stop()
		r.order = protocol.Reconcile{}
	}
	return reply, nil
}

// begin starts to work on an order. The mutex is held.
func (r *reconciler) begin(order protocol.Reconcile) {
	r.stop()
	ctx, cancel := context.WithCancel(context.Background())
	r.order, r.stop = order, cancel
	r.reply = protocol.ReconcileReply{StoreID: r.store.log.StoreID()}
	r.ended = make(chan struct{})
	go r.run(ctx, order, r.ended)
}

// run tries until the order is worked off or replaced.
func (r *reconciler) run(ctx context.Context, order protocol.Reconcile, ended chan<- struct{}) {
	defer close(ended)
	copied := 0
	for ctx.Err() == nil {
		attempt := newAttempt(ctx, r, order)
		err := attempt.run()
		attempt.close()
		copied += attempt.copied
		reply := protocol.ReconcileReply{StoreID: r.store.log.StoreID(), Copied: copied}
		if err == nil {
			reply.Done, reply.Read, reply.Missing = true, attempt.read(), len(attempt.missing)
			r.log.Info("reconciled", "read", len(reply.Read), "copied", copied, "missing", reply.Missing)
		} else {
			reply.Cause = err.Error()
		}
		r.mutex.Lock()
		if ctx.Err() == nil {
			r.reply = reply
		}
		r.mutex.Unlock()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconcileAgain):
		}
	}
}

// source is a store that an attempt reads. This store itself has no client.
type source struct {
	protocol.ReconcileSource
	client  *transport.Client
	entries int
}

// attempt is one run through all messages.
type attempt struct {
	reconciler *reconciler
	ctx        context.Context
	order      protocol.Reconcile
	sources    []*source // all, then those that could be asked
	promoted   bool      // this store's disk is to become a full one
	copied     int
	missing    map[string]bool // messages that others have to copy
}

func newAttempt(ctx context.Context, r *reconciler, order protocol.Reconcile) *attempt {
	a := &attempt{reconciler: r, ctx: ctx, order: order, promoted: true}
	for _, told := range order.Sources {
		one := &source{ReconcileSource: told}
		if told.Node == r.identity.Node {
			a.promoted = false
		} else {
			one.client = transport.NewClientOn(r.network, r.identity, told.Address)
		}
		a.sources = append(a.sources, one)
	}
	return a
}

func (a *attempt) close() {
	for _, one := range a.sources {
		if one.client != nil {
			one.client.Close()
		}
	}
}

// read names the sources that were read whole.
func (a *attempt) read() []string {
	var nodes []string
	for _, one := range a.sources {
		nodes = append(nodes, one.Node)
	}
	return nodes
}

// run compares all messages. A message on its way may stand at too few just now, so
// the missing ones are looked at again. Those that were not there at the first look do
// not matter: all dispatchers went by the new stores before, and accept nothing that
// does not stand at enough of them.
func (a *attempt) run() error {
	if err := a.probe(); err != nil {
		return err
	}
	if err := a.compareAll(); err != nil || len(a.missing) == 0 || len(a.missing) > lookAgainMost {
		return err
	}
	first := a.missing
	select {
	case <-a.ctx.Done():
	case <-time.After(lookAgainAfter):
	}
	if err := a.compareAll(); err != nil {
		return err
	}
	maps.DeleteFunc(a.missing, func(id string, _ bool) bool { return !first[id] })
	return nil
}

// compareAll compares all messages, slice by slice.
func (a *attempt) compareAll() error {
	a.missing = map[string]bool{}
	most := a.reconciler.store.messages()
	for _, one := range a.sources {
		most = max(most, one.entries)
	}
	count := most/sliceEntries + 1
	for slice := range count {
		if err := a.reconcileSlice(slice, count); err != nil {
			return err
		}
	}
	return nil
}

// probe leaves out the sources that do not answer. One counts only once all
// dispatchers in touch with it go by the stores that the order rests on: what
// the others write may rest on copies that are lost.
func (a *attempt) probe() error {
	usable := make([]error, len(a.sources))
	a.eachSource(func(i int, one *source) {
		reply, err := a.list(one, 0, 0)
		switch {
		case err != nil:
			usable[i] = err
		case reply.StoreID != one.StoreID:
			usable[i] = Class.New("%s has another disk", one.Node)
		case reply.Unaware > 0:
			usable[i] = Class.New("%s has %d dispatchers that go by older stores", one.Node, reply.Unaware)
		}
		one.entries = reply.Entries
	})
	var kept []*source
	var cause error
	for i, one := range a.sources {
		if usable[i] == nil {
			kept = append(kept, one)
			continue
		}
		cause = usable[i]
		if one.client != nil {
			one.client.Close()
		}
	}
	a.sources = kept
	if len(kept) < a.order.Reads {
		return Class.New("%d of %d sources can be read: %v", len(kept), a.order.Reads, cause)
	}
	return nil
}

// eachSource calls a function for every source, side by side.
func (a *attempt) eachSource(call func(i int, one *source)) {
	var calls sync.WaitGroup
	for i, one := range a.sources {
		calls.Go(func() { call(i, one) })
	}
	calls.Wait()
}

// list asks one source for a slice.
func (a *attempt) list(one *source, slice, count int) (protocol.ListEntriesReply, error) {
	request := protocol.ListEntries{Sequence: a.order.Sequence, Slice: slice, Slices: count}
	if one.client == nil {
		return a.reconciler.store.listEntries(request), nil
	}
	timeout := fetchTimeout
	if count == 0 {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	return transport.Call[protocol.ListEntriesReply](ctx, one.client, request)
}

// reconcileSlice compares the messages of one slice and copies what is needed.
func (a *attempt) reconcileSlice(slice, count int) error {
	replies := make([]protocol.ListEntriesReply, len(a.sources))
	failed := make([]error, len(a.sources))
	a.eachSource(func(i int, one *source) {
		replies[i], failed[i] = a.list(one, slice, count)
		if failed[i] == nil && replies[i].StoreID != one.StoreID {
			failed[i] = Class.New("%s has another disk", one.Node)
		}
	})
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	c := newComparison(a.sources, replies)
	a.reconciler.store.addOwn(c)
	wanted := c.wanted(a.order.Copies, a.promoted)
	for _, id := range c.missing {
		a.missing[id] = true
	}
	return a.copy(wanted)
}

// copy copies messages here: ends in batches, those that have bytes one by one.
func (a *attempt) copy(wanted []*comparedMessage) error {
	ends, bodies := map[int][]string{}, make([]*comparedMessage, 0, len(wanted))
	for _, message := range wanted {
		if message.body >= 0 {
			bodies = append(bodies, message)
		}
		if message.best.State().Ended() {
			ends[message.bestAt] = append(ends[message.bestAt], message.id)
		}
	}
	if err := a.copyBodies(bodies); err != nil {
		return err
	}
	for at, ids := range ends {
		for part := range slices.Chunk(ids, fetchBatch) {
			if err := a.copyEnds(a.sources[at], part); err != nil {
				return err
			}
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	return a.reconciler.store.log.Barrier().Wait()
}

// copyEnds takes over the ends of messages that one source told.
func (a *attempt) copyEnds(from *source, ids []string) error {
	ctx, cancel := context.WithTimeout(a.ctx, fetchTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.FindEndsReply](ctx, from.client, protocol.FindEnds{IDs: ids})
	if err != nil {
		return err
	}
	for _, head := range reply.Heads {
		if err := a.adopt(protocol.QueryReply{Head: head, Held: true}); err != nil {
			return err
		}
	}
	return a.reconciler.store.log.Barrier().Wait()
}

// copyBodies reads messages with their bytes, some at once.
func (a *attempt) copyBodies(messages []*comparedMessage) error {
	for part := range slices.Chunk(messages, fetchParallel) {
		replies := make([]protocol.QueryReply, len(part))
		failed := make([]error, len(part))
		var calls sync.WaitGroup
		for i, message := range part {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(a.ctx, fetchTimeout)
				defer cancel()
				query := protocol.Query{ID: message.id, WithBody: true}
				replies[i], failed[i] = transport.Call[protocol.QueryReply](ctx, a.sources[message.body].client, query)
			})
		}
		calls.Wait()
		for i, reply := range replies {
			if failed[i] != nil {
				return failed[i]
			}
			if !reply.Held {
				continue // its time was over meanwhile
			}
			if err := a.adopt(reply); err != nil {
				return err
			}
		}
	}
	return nil
}

// adopt keeps one message that was told.
func (a *attempt) adopt(told protocol.QueryReply) error {
	kept, err := a.reconciler.store.adopt(told)
	if err != nil {
		return err
	}
	if !kept {
		return Class.New("no room for message %s", told.Head.ID)
	}
	a.copied++
	return nil
}
