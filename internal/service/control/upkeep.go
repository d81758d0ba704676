package control

import (
	"context"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// Times of the upkeep.
const (
	upkeepEvery    = time.Second
	joinEvery      = 300 * time.Millisecond
	unknownEvery   = 100 * time.Millisecond // while no majority has told the decided value
	behindPause    = 20 * time.Millisecond
	replaceAfter   = 3 * time.Second        // a silent member gives its place to one that joins, or leaves an even number
	retireEvery    = 200 * time.Millisecond // while a store is being emptied
	repairTime     = 2 * time.Second        // after the monitors have noted a loss: its copies are written again by then
	standstill     = 3 * time.Second        // between two rounds: this process was stopped itself
	unsettledTicks = 2                      // rounds of upkeep after which an undecided value is finished
)

// upkeep learns decided values that were missed, and keeps the members and the
// known stores in order.
type upkeep struct {
	replica    *replica
	retirement *retirement
	stores     func() []view.NodeState
	tolerated  int           // machines that may be lost at once
	catchUp    time.Duration // until a store that was empty counts in full
	unsettled  int
	ticked     time.Time
	gone       map[string]time.Time               // known stores that do not live, since when
	present    map[register.StoreMember]time.Time // known stores that live, each with its disk, since when
}

// run works until the context ends.
func (u *upkeep) run(ctx context.Context) {
	for ctx.Err() == nil {
		u.tick(ctx)
		u.rest(ctx)
	}
}

// tick is one round of upkeep.
func (u *upkeep) tick(ctx context.Context) {
	u.noteTime(time.Now())
	decided, known := u.replica.survey(ctx)
	if !known {
		u.unsettled++
		if u.unsettled >= unsettledTicks {
			u.unsettled = 0
			u.replica.order(ctx, register.Settle)
		}
		return
	}
	u.unsettled = 0
	if !u.replica.isMember() {
		if u.replica.placeFor(decided.Value) {
			u.replica.join(ctx, decided.Value)
		}
		return
	}
	if !u.first(decided.Value) {
		return
	}
	for _, change := range u.due(decided.Value, time.Now()) {
		u.replica.order(ctx, change)
	}
	u.retirement.advance(ctx, decided.Value)
}

// noteTime excuses the silence of others when this process has stood still.
func (u *upkeep) noteTime(now time.Time) {
	if !u.ticked.IsZero() && now.Sub(u.ticked) > standstill {
		u.replica.forgiveSilence()
		u.gone, u.present = nil, nil
	}
	u.ticked = now
}

// rest waits for the next round, or until a value is known to be missing.
func (u *upkeep) rest(ctx context.Context) {
	pause := upkeepEvery
	if !u.replica.isMember() {
		pause = joinEvery
	}
	if known := u.replica.known().Value; known != nil && len(known.Leaving) > 0 {
		pause = retireEvery
	}
	if u.unsettled > 0 {
		pause = unknownEvery
	}
	timer := time.NewTimer(pause*3/4 + mathrand.N(pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return
	case <-ctx.Done():
		return
	case <-u.replica.behind:
	}
	timer.Reset(behindPause)
	<-timer.C
}

// first reports whether all members before this one are silent: one member acts
// for all, and the register itself bears two that do.
func (u *upkeep) first(value *register.Value) bool {
	silent := u.replica.silent(value, replaceAfter)
	for _, member := range value.Members {
		if member.Address == u.replica.identity.Address {
			return true
		}
		if !slices.Contains(silent, member.Address) {
			return false
		}
	}
	return false
}

// due lists the changes that a value needs.
func (u *upkeep) due(value *register.Value, now time.Time) []register.Change {
	var changes []register.Change
	if len(value.Previous) > 0 {
		changes = append(changes, register.Seal)
	}
	if names := u.replica.namesNow(); anyUnnamed(value, names) {
		changes = append(changes, register.Name(names))
	}
	if silent := u.replica.silent(value, replaceAfter); len(silent) > 0 && register.MayRemove(value) {
		u.replica.log.Info("member is removed", "address", silent[0])
		changes = append(changes, register.Remove(silent[0]))
	}
	live := liveStores(u.stores())
	if stores := slices.Collect(maps.Values(live)); anyUnknown(value, stores) {
		changes = append(changes, register.SetStores(stores))
	}
	if node, replaced := u.replacedStore(value, live, now); replaced {
		u.replica.log.Info("store is removed", "node", node)
		changes = append(changes, register.RemoveStore(node))
	}
	return changes
}

// anyUnnamed reports whether a member lacks a name that is known.
func anyUnnamed(value *register.Value, names map[string]register.Member) bool {
	return slices.ContainsFunc(value.Members, func(m register.Member) bool {
		return m.Node == "" && names[m.Address].Node != ""
	})
}

// anyUnknown reports whether the value lacks a store or has an outdated entry.
func anyUnknown(value *register.Value, stores []register.StoreMember) bool {
	_, outcome := register.SetStores(stores)(value)
	return outcome == register.Taken
}

// liveStores returns the stores that live, by node.
func liveStores(states []view.NodeState) map[string]register.StoreMember {
	live := map[string]register.StoreMember{}
	for _, state := range states {
		if state.Alive && !state.Left {
			live[state.Identity.Node] = register.StoreMember{
				Node: state.Identity.Node, Zone: state.Identity.Zone,
				Address: state.Identity.Address, StoreID: state.StoreID,
			}
		}
	}
	return live
}

// replacedStore returns a known store that has been gone for so long that its
// messages have been copied again, while enough others have lived for as long as
// a new one needs. Until it is removed it counts among the stores whose grants
// may be missing, and so takes the place of the next loss.
func (u *upkeep) replacedStore(value *register.Value, live map[string]register.StoreMember, now time.Time) (string, bool) {
	u.notePresence(value, live, now)
	whole := 0
	for _, store := range value.RemainingStores("") {
		if since, present := u.present[store]; present && now.Sub(since) >= u.catchUp {
			whole++
		}
	}
	if whole < 2*u.tolerated+1 {
		return "", false
	}
	for node, since := range u.gone {
		if now.Sub(since) > repairTime {
			return node, true
		}
	}
	return "", false
}

// notePresence notes since when the known stores have lived or been gone. Those
// that live when this process first looks have lived for long: it cannot know
// better, and most of them have.
func (u *upkeep) notePresence(value *register.Value, live map[string]register.StoreMember, now time.Time) {
	begun := now
	if u.present == nil {
		begun = time.Time{}
	}
	present, gone := map[register.StoreMember]time.Time{}, map[string]time.Time{}
	for _, store := range value.Stores {
		if _, lives := live[store.Node]; lives {
			present[store] = noteSince(u.present, store, begun)
		} else {
			gone[store.Node] = noteSince(u.gone, store.Node, now)
		}
	}
	u.present, u.gone = present, gone
}

// noteSince returns when a key was first noted, which is now if it was not.
func noteSince[Key comparable](known map[Key]time.Time, key Key, now time.Time) time.Time {
	if since, noted := known[key]; noted {
		return since
	}
	return now
}
