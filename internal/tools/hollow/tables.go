package hollow

import (
	"runtime"
	"time"

	"yardwharf/internal/service/protocol"
)

// tablesMeasured is how many stores' tables are held to measure one.
const tablesMeasured = 10

// heldTable is what a dispatcher keeps of one store's table.
type heldTable struct {
	sessions []protocol.Session
	holders  map[string]protocol.QueueState
}

// measureHeldTables measures what the tables of stores take of a dispatcher:
// the memory of one, and the time of one when all are folded into one table,
// which a dispatcher does whenever any of them has changed.
func (r *leaseCost) measureHeldTables(store *storeCore, now time.Time) {
	var unused, dispatcher Load
	c := newCodec()
	before := liveHeap()
	tables := make([]heldTable, tablesMeasured)
	for i := range tables {
		reply := store.renew(now, dispatcherIdentity(0), protocol.Renew{Ready: true})
		arrived, _ := c.carry(&unused, &unused, reply)
		tables[i] = newHeldTable(arrived.(protocol.RenewReply))
	}
	r.TableMemory = (liveHeap() - before) / tablesMeasured
	dispatcher.work(func() { foldTables(tables) })
	r.TableFold = dispatcher.Processor / tablesMeasured
	runtime.KeepAlive(tables)
}

func newHeldTable(reply protocol.RenewReply) heldTable {
	table := heldTable{sessions: reply.Sessions, holders: make(map[string]protocol.QueueState, len(reply.Queues))}
	for _, state := range reply.Queues {
		table.holders[state.Queue] = state
	}
	return table
}

// foldTables folds tables as package dispatcher does.
func foldTables(tables []heldTable) (map[string]protocol.Session, map[string]protocol.QueueState) {
	sessions, holders := map[string]protocol.Session{}, map[string]protocol.QueueState{}
	open := map[string]bool{}
	for _, table := range tables {
		for _, session := range table.sessions {
			known, some := sessions[session.Identity.Node]
			if session.Ready && (!some || session.Identity.Incarnation > known.Identity.Incarnation) {
				sessions[session.Identity.Node] = session
			}
		}
		for name, state := range table.holders {
			known, some := holders[name]
			if !some || state.Epoch > known.Epoch || state.Epoch == known.Epoch && known.Holder == "" {
				holders[name] = state
			}
			open[name] = open[name] || state.Open > 0
		}
	}
	return sessions, holders
}
