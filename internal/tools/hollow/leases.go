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
	Stores        int
	RenewalBytes  int           // request and answer, where nothing has changed
	StoreRenewal  time.Duration // at the store, without the socket
	HolderRenewal time.Duration // at the dispatcher, without the socket
	TableBytes    int           // answer with the whole table
	StoreTable    time.Duration // to make and encode it
	HolderTable   time.Duration // to decode it
	TableMemory   int64         // of one store's table at a dispatcher
	TableFold     time.Duration // of one store's table, when all are folded
	StoreMemory   int64         // of one store's sessions and leases
	HolderMemory  int64         // of one dispatcher's grants of all stores
	ValidityCheck time.Duration // of one queue at the dispatcher
	RestartSteps  int           // new versions of the table, each told apart, when one dispatcher restarts
	RestartBytes  int           // of the changes that one other dispatcher is told then
	RestartStore  time.Duration // to make and encode them
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
	result.measureRestart(store, now)
	return result
}

func newStoreCore(size Size, start time.Time) *storeCore {
	store := &storeCore{grantor: lease.NewGrantor(start.Add(-lease.Duration), 1, nil)}
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
			holder.ValidUntil(queue, time.Millisecond, r.Stores-size.Tolerated, func(string) bool { return true })
		}
	})
	r.ValidityCheck = load.Processor / rounds
}

// measureRestart lets one dispatcher end in order, start again and take its queue, and tells another one of
// each change apart, which is the most that a session hears of it.
func (r *leaseCost) measureRestart(store *storeCore, now time.Time) {
	old, next := dispatcherIdentity(1), dispatcherIdentity(1)
	next.Incarnation++
	local, fresh := localQueue(1), localQueue(1)+"b"
	later := now.Add(lease.ClosedSessionGrace + time.Millisecond)
	steps := []func(){
		func() { store.grantor.Renew(now, old, false, 1) },
		func() { store.grantor.Release(now, old, local, 1) },
		func() { store.grantor.Closed(now, old) },
		func() { store.grantor.Renew(later, next, false, 1) },
		func() { store.grantor.Acquire(later, next, 1, fresh, 1, false) },
		func() { store.grantor.Renew(later, next, true, 1) },
	}
	var dispatcher Load
	c := newCodec()
	known := store.grantor.Version()
	c.carry(&store.load, &dispatcher, store.renew(now, dispatcherIdentity(0), protocol.Renew{Ready: true}))
	store.load = Load{}
	for _, step := range steps {
		step()
		if store.grantor.Version() == known {
			continue
		}
		reply := store.renew(later, dispatcherIdentity(0), protocol.Renew{Ready: true, KnownVersion: known})
		known = reply.Version
		_, size := c.carry(&store.load, &dispatcher, reply)
		r.RestartSteps++
		r.RestartBytes += size
	}
	r.RestartStore = store.load.Processor
}
