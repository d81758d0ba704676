package store

import (
	"context"
	"errors"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/network"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/storeclient"
	"yardwharf/internal/service/transport"
)

const (
	targetSliceEntries    = 8192 // approximate number of messages of one source in one slice
	endFetchBatch         = 512  // ends in one request
	maxParallelFetches    = 8    // bodies that are read at once
	fetchTimeout          = 2 * time.Second
	probeTimeout          = 600 * time.Millisecond
	reconcileRetryDelay   = 100 * time.Millisecond // after an attempt that failed
	maxRefusedRetryDelay  = time.Second            // doubles up to this after attempts that could not copy some messages
	maxRecheckedMessages  = 256                    // with more missing messages there is no second comparison
	recheckDelay          = 50 * time.Millisecond  // lets messages in transit arrive
	maxReconcileSources   = 4096                   // orders with more are refused
	maxReconcileReplyWait = 300 * time.Millisecond // how long a reply waits for the order to end
)

// reconciler executes orders to reconcile, one at a time: it compares what the full
// disks hold, and copies to this store the messages that have too few copies.
type reconciler struct {
	store    *store
	network  network.Network
	identity protocol.Identity
	log      logr.Logger

	mutex  sync.Mutex
	order  protocol.Reconcile
	reply  protocol.ReconcileReply
	cancel context.CancelFunc
	done   chan struct{} // closed when the current order ends
}

func newReconciler(s *store, on network.Network, identity protocol.Identity, log logr.Logger) *reconciler {
	return &reconciler{store: s, network: on, identity: identity, log: log, cancel: func() {}}
}

// close cancels the current order.
func (r *reconciler) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cancel()
}

// handle starts an order, unless it is the current one, and returns its state once it has
// ended or after a short wait. An order that ended with messages missing is started again
// when it is repeated: other stores may have copied them meanwhile.
func (r *reconciler) handle(ctx context.Context, order protocol.Reconcile) (protocol.ReconcileReply, error) {
	if len(order.Sources) > maxReconcileSources || order.Reads < 1 {
		return protocol.ReconcileReply{}, Class.New("reconcile: %d sources, %d to be read", len(order.Sources), order.Reads)
	}
	r.mutex.Lock()
	if !reflect.DeepEqual(order, r.order) {
		r.start(order)
	}
	ended := r.done
	r.mutex.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(maxReconcileReplyWait):
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !reflect.DeepEqual(order, r.order) {
		return protocol.ReconcileReply{StoreID: r.store.log.StoreID()}, nil // another order has replaced it
	}
	reply := r.reply
	if reply.Done && reply.Missing > 0 {
		r.cancel()
		r.order = protocol.Reconcile{}
	}
	return reply, nil
}

// start cancels the current order and starts another. The mutex is held.
func (r *reconciler) start(order protocol.Reconcile) {
	r.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	r.order, r.cancel = order, cancel
	r.reply = protocol.ReconcileReply{StoreID: r.store.log.StoreID()}
	r.done = make(chan struct{})
	go r.run(ctx, order, r.done)
}

// run repeats attempts until one succeeds or the order is replaced.
func (r *reconciler) run(ctx context.Context, order protocol.Reconcile, ended chan<- struct{}) {
	defer close(ended)
	copied, delay := 0, reconcileRetryDelay
	for ctx.Err() == nil {
		attempt := newReconcileAttempt(ctx, r, order)
		err := attempt.run()
		attempt.close()
		copied += attempt.copied
		reply := protocol.ReconcileReply{StoreID: r.store.log.StoreID(), Copied: copied}
		if err == nil {
			reply.Done, reply.Read, reply.Missing = true, attempt.sourceNodes(), len(attempt.missing)
			r.log.Info("reconciled", "read", len(reply.Read), "copied", copied, "missing", reply.Missing)
		} else {
			reply.Cause, reply.Refused = err.Error(), attempt.refused
		}
		r.mutex.Lock()
		if ctx.Err() == nil {
			r.reply = reply
		}
		r.mutex.Unlock()
		if err == nil {
			return
		}
		if attempt.refused > 0 {
			delay = min(2*delay, maxRefusedRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// source is a store that an attempt reads. The client is nil for this store itself.
type source struct {
	protocol.ReconcileSource
	client  *transport.Client
	entries int
}

// reconcileAttempt is one comparison of all messages, with the copying that follows from it.
type reconcileAttempt struct {
	reconciler *reconciler
	ctx        context.Context
	order      protocol.Reconcile
	sources    []*source // of the order; after probe only the usable ones
	promoted   bool      // this store's disk is being promoted to a full one
	copied     int
	missing    map[string]bool // messages that others have to copy

	refused      int   // messages that could not be copied, while their sources answered
	refusedCause error // of the first one
	full         bool  // there was no room for a body: no further ones are read
}

func newReconcileAttempt(ctx context.Context, r *reconciler, order protocol.Reconcile) *reconcileAttempt {
	a := &reconcileAttempt{reconciler: r, ctx: ctx, order: order, promoted: true}
	for _, listed := range order.Sources {
		src := &source{ReconcileSource: listed}
		if listed.Node == r.identity.Node {
			a.promoted = false
		} else {
			src.client = transport.NewClientOn(r.network, r.identity, listed.Address)
		}
		a.sources = append(a.sources, src)
	}
	return a
}

func (a *reconcileAttempt) close() {
	for _, src := range a.sources {
		if src.client != nil {
			src.client.Close()
		}
	}
}

// sourceNodes returns the nodes of the sources that were read completely.
func (a *reconcileAttempt) sourceNodes() []string {
	var nodes []string
	for _, src := range a.sources {
		nodes = append(nodes, src.Node)
	}
	return nodes
}

// run copies what is missing. A message that cannot be copied does not keep the others from being copied, but the attempt
// fails.
func (a *reconcileAttempt) run() error {
	if err := a.probe(); err != nil {
		return err
	}
	if err := a.compareTwice(); err != nil {
		return err
	}
	if a.refused > 0 {
		return Class.New("%d messages cannot be copied: %w", a.refused, a.refusedCause)
	}
	return nil
}

// noteRefused records that a message cannot be copied.
func (a *reconcileAttempt) noteRefused(cause error) {
	if a.refused == 0 {
		a.refusedCause = cause
	}
	a.refused++
}

// compareTwice compares all messages. A message in transit may have too few copies at first, so
// missing messages are compared a second time. Those that were not missing the first time
// are ignored: all dispatchers already used the new stores by then, and accept no message
// without enough copies among them.
func (a *reconcileAttempt) compareTwice() error {
	if err := a.compareAll(); err != nil || len(a.missing) == 0 || len(a.missing) > maxRecheckedMessages {
		return err
	}
	first := a.missing
	select {
	case <-a.ctx.Done():
	case <-time.After(recheckDelay):
	}
	if err := a.compareAll(); err != nil {
		return err
	}
	maps.DeleteFunc(a.missing, func(id string, _ bool) bool { return !first[id] })
	return nil
}

// compareAll compares all messages, slice by slice.
func (a *reconcileAttempt) compareAll() error {
	a.missing = map[string]bool{}
	maxEntries := a.reconciler.store.messages()
	for _, src := range a.sources {
		maxEntries = max(maxEntries, src.entries)
	}
	count := maxEntries/targetSliceEntries + 1
	for slice := range count {
		if err := a.reconcileSlice(slice, count); err != nil {
			return err
		}
	}
	return nil
}

// probe leaves out the sources that do not answer. A source is used only once all
// dispatchers connected to it use at least the list of stores that the order is based on:
// what the others write may depend on copies that are lost.
func (a *reconcileAttempt) probe() error {
	failed := make([]error, len(a.sources))
	a.eachSource(func(i int, src *source) {
		reply, err := a.list(src, 0, 0)
		switch {
		case err != nil:
			failed[i] = err
		case reply.StoreID != src.StoreID:
			failed[i] = Class.New("%s has another disk", src.Node)
		case reply.Unaware > 0:
			failed[i] = Class.New("%s has %d dispatchers that go by older stores", src.Node, reply.Unaware)
		}
		src.entries = reply.Entries
	})
	var kept []*source
	var cause error
	for i, src := range a.sources {
		if failed[i] == nil {
			kept = append(kept, src)
			continue
		}
		cause = failed[i]
		if src.client != nil {
			src.client.Close()
		}
	}
	a.sources = kept
	if len(kept) < a.order.Reads {
		return Class.New("%d of %d sources can be read: %v", len(kept), a.order.Reads, cause)
	}
	return nil
}

// eachSource calls a function for every source concurrently and waits for all calls.
func (a *reconcileAttempt) eachSource(call func(i int, src *source)) {
	var calls sync.WaitGroup
	for i, src := range a.sources {
		calls.Go(func() { call(i, src) })
	}
	calls.Wait()
}

// list requests a slice from one source; a count of 0 only probes it.
func (a *reconcileAttempt) list(src *source, slice, count int) (protocol.ListEntriesReply, error) {
	request := protocol.ListEntries{Sequence: a.order.Sequence, Slice: slice, Slices: count}
	if src.client == nil {
		return a.reconciler.store.listEntries(request), nil
	}
	timeout := fetchTimeout
	if count == 0 {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	return transport.Call[protocol.ListEntriesReply](ctx, src.client, request)
}

// reconcileSlice compares the messages of one slice and copies those that this store needs.
func (a *reconcileAttempt) reconcileSlice(slice, count int) error {
	replies := make([]protocol.ListEntriesReply, len(a.sources))
	failed := make([]error, len(a.sources))
	a.eachSource(func(i int, src *source) {
		replies[i], failed[i] = a.list(src, slice, count)
		if failed[i] == nil && replies[i].StoreID != src.StoreID {
			failed[i] = Class.New("%s has another disk", src.Node)
		}
	})
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	c := newComparison(a.sources, replies)
	a.reconciler.store.addLocal(c)
	wanted := c.messagesToCopy(a.order.Copies, a.promoted)
	for _, id := range c.missing {
		a.missing[id] = true
	}
	return a.copy(wanted)
}

// copy copies messages to this store: ends in batches, bodies one by one.
func (a *reconcileAttempt) copy(wanted []*comparedMessage) error {
	ends, bodies := map[int][]string{}, make([]*comparedMessage, 0, len(wanted))
	for _, message := range wanted {
		if message.bodySource >= 0 {
			bodies = append(bodies, message)
		}
		if message.bestRank.State().Ended() {
			ends[message.bestSource] = append(ends[message.bestSource], message.id)
		}
	}
	if err := a.copyBodies(bodies); err != nil {
		return err
	}
	for at, ids := range ends {
		for part := range slices.Chunk(ids, endFetchBatch) {
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

// copyEnds copies the ends of messages from one source.
func (a *reconcileAttempt) copyEnds(from *source, ids []string) error {
	heads, err := storeclient.FindEnds(a.ctx, from.client, ids, fetchTimeout)
	if err != nil {
		return err
	}
	for _, head := range heads {
		a.importMessage(protocol.QueryReply{Head: head, Held: true})
	}
	return a.reconciler.store.log.Barrier().Wait()
}

// copyBodies copies messages with their bodies, several at once.
func (a *reconcileAttempt) copyBodies(messages []*comparedMessage) error {
	for part := range slices.Chunk(messages, maxParallelFetches) {
		if a.full {
			return nil
		}
		replies := make([]protocol.QueryReply, len(part))
		failed := make([]error, len(part))
		var calls sync.WaitGroup
		for i, message := range part {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(a.ctx, fetchTimeout)
				defer cancel()
				query := protocol.Query{ID: message.id, WithBody: true}
				replies[i], failed[i] = transport.Call[protocol.QueryReply](ctx, a.sources[message.bodySource].client, query)
			})
		}
		calls.Wait()
		var refusal *transport.RemoteError
		for i, reply := range replies {
			switch {
			case errors.As(failed[i], &refusal):
				a.noteRefused(failed[i])
			case failed[i] != nil:
				return failed[i]
			case reply.Held: // else the source has dropped it meanwhile
				a.importMessage(reply)
			}
		}
	}
	return nil
}

// importMessage imports one message that a source returned.
func (a *reconcileAttempt) importMessage(reply protocol.QueryReply) {
	kept, err := a.reconciler.store.importMessage(reply)
	switch {
	case err != nil:
		a.noteRefused(err)
	case !kept:
		a.full = a.full || carriesBody(reply)
		a.noteRefused(Class.New("no room for message %s", reply.Head.ID))
	default:
		a.copied++
	}
}
