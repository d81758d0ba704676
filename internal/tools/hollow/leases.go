package hollow

import (
	"fmt"
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
)

const (
	orderedPartitions = 32
)

// leaseCost is what the sessions between dispatchers and stores take.
type leaseCost struct {
	Stores         int
	RenewalBytes   int           // request and answer, where nothing has changed
	StoreRenewal   time.Duration // at the store, without the socket
	HolderRenewal  time.Duration // at the dispatcher, without the socket
	TableBytes     int           // answer with the whole table
	StoreTable     time.Duration // to make and encode it
	HolderTable    time.Duration // to decode it
	TableMemory    int64         // of one store's table at a dispatcher
	TableFold      time.Duration // of one store's table, when all are folded
	StoreMemory    int64         // of one store's sessions and leases
	HolderMemory   int64         // of one dispatcher's grants of all stores
	ValidityCheck  time.Duration // of one queue at the dispatcher
	VersionsPerEnd int           // new versions of the table when one dispatcher restarts
}

// renewalsPerSecond is how many renewals a session makes in a second.
func renewalsPerSecond() float64 { return float64(time.Second) / float64(lease.RenewInterval) }

// storeCore is the part of a store that grants leases.
type storeCore struct {
	grantor *lease.Grantor
	queues  []string
	load    Load
}

// renew answers a renewal as package store does.
func (s *storeCore) renew(now time.Time, identity protocol.Identity, request protocol.Renew) (reply protocol.RenewReply) {
	s.load.work(func() {
		s.grantor.Renew(now, identity, request.Ready, 1)
		reply = protocol.RenewReply{StoreID: "0123456789abcdef", Version: s.grantor.Version()}
		if reply.Version == request.KnownVersion {
			return
		}
		reply.Changed = true
		names := s.queues
		if changes, some := s.grantor.ChangesSince(request.KnownVersion, "dispatcher"); some {
			reply.Partial, names = true, changes.Queues
			reply.Sessions, reply.Ended = changes.Sessions, changes.Ended
		} else {
			reply.Sessions = s.grantor.Sessions("dispatcher")
		}
		for _, name := range names {
			holder, epoch := s.grantor.Lease(name)
			reply.Queues = append(reply.Queues, protocol.QueueState{Queue: name, Epoch: epoch, Holder: holder, Open: 1})
		}
	})
	return reply
}

func dispatcherIdentity(machine int) protocol.Identity {
	return identityOf("dispatcher", machine, protocol.DispatcherPort)
}

func localQueue(machine int) string {
	identity := dispatcherIdentity(machine)
	return fmt.Sprintf("local/%s/%x", identity.Node, identity.Incarnation)
}

// measureLeases measures one store with a session of every dispatcher, and one
// dispatcher with a session at every store.
func measureLeases(size Size) leaseCost {
	result := leaseCost{Stores: size.Stores()}
	now := time.Unix(1_790_000_000, 0)
	before := liveHeap()
	store := newStoreCore(size, now)
	result.StoreMemory = liveHeap() - before
	result.measureRenewals(size, store, now)
	result.measureTable(store, now)
	result.measureHeldTables(store, now)
	result.measureHolder(size)
	result.VersionsPerEnd = versionsOfRestart(store, now)
	return result
}

func newStoreCore(size Size, start time.Time) *storeCore {
	store := &storeCore{grantor: lease.NewGrantor(start.Add(-lease.LeaseDuration), 1, nil)}
	for i := range size.Dispatchers {
		identity := dispatcherIdentity(i)
		store.grantor.Renew(start, identity, true, 1)
		store.acquire(start, identity, localQueue(i))
	}
	for partition := range orderedPartitions {
		store.acquire(start, dispatcherIdentity(partition%size.Dispatchers), fmt.Sprintf("ordered/%d", partition))
	}
	return store
}

func (s *storeCore) acquire(now time.Time, identity protocol.Identity, queue string) {
	s.grantor.Acquire(now, identity, 1, queue, 1, false)
	s.queues = append(s.queues, queue)
}

// measureRenewals lets every dispatcher renew its session for some seconds.
func (r *leaseCost) measureRenewals(size Size, store *storeCore, now time.Time) {
	const rounds = 5
	var dispatcher Load
	c := newCodec()
	version := store.grantor.Version()
	store.load = Load{}
	for range rounds {
		now = now.Add(lease.RenewInterval)
		for i := range size.Dispatchers {
			request := protocol.Renew{Ready: true, KnownVersion: version}
			arrived := c.call(&dispatcher, &store.load, request).(protocol.Renew)
			reply := store.renew(now, dispatcherIdentity(i), arrived)
			c.carry(&store.load, &dispatcher, reply)
		}
	}
	renewals := rounds * size.Dispatchers
	r.RenewalBytes = int(dispatcher.Bytes()) / renewals
	r.StoreRenewal = store.load.Processor / time.Duration(renewals)
	r.HolderRenewal = dispatcher.Processor / time.Duration(renewals)
}

// measureTable measures answers with the whole table.
func (r *leaseCost) measureTable(store *storeCore, now time.Time) {
	const rounds = 5
	var dispatcher Load
	c := newCodec()
	store.load = Load{}
	for range rounds {
		reply := store.renew(now, dispatcherIdentity(0), protocol.Renew{Ready: true})
		_, r.TableBytes = c.carry(&store.load, &dispatcher, reply)
	}
	r.StoreTable, r.HolderTable = store.load.Processor/rounds, dispatcher.Processor/rounds
}

// measureHolder measures a dispatcher with a session at every store.
func (r *leaseCost) measureHolder(size Size) {
	const rounds = 200
	queue := localQueue(0)
	stores := make([]string, r.Stores)
	for i := range stores {
		stores[i] = identityOf("store", i, protocol.StorePort).Node
	}
	before := liveHeap()
	holders := make([]*lease.Holder, rounds)
	for i := range holders {
		holders[i] = lease.NewHolder()
		for _, store := range stores {
			holders[i].Renewed(store, 0, time.Millisecond)
			holders[i].Granted(store, queue, 1, 0)
		}
	}
	r.HolderMemory = (liveHeap() - before) / rounds
	var load Load
	load.work(func() {
		for _, holder := range holders {
			holder.ValidUntil(queue, time.Millisecond, r.Stores, size.Tolerated)
		}
	})
	r.ValidityCheck = load.Processor / rounds
}

// versionsOfRestart counts the versions of a store's table when one dispatcher
// ends in order, starts again and takes its queue.
func versionsOfRestart(store *storeCore, now time.Time) int {
	before := store.grantor.Version()
	old, next := dispatcherIdentity(1), dispatcherIdentity(1)
	next.Incarnation++
	store.grantor.Renew(now, old, false, 1)
	store.grantor.Release(now, old, localQueue(1), 1)
	store.grantor.Closed(now, old)
	now = now.Add(lease.ClosedSessionGrace + time.Millisecond)
	store.grantor.Renew(now, next, false, 1)
	store.grantor.Acquire(now, next, 1, localQueue(1)+"b", 1, false)
	store.grantor.Renew(now, next, true, 1)
	return int(store.grantor.Version() - before)
}
