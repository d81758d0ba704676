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
	storesEvery    = 200 * time.Millisecond // while stores are being emptied or filled
	giveUpAfter    = 2 * time.Second        // after the monitors suspect a store, it is given up
	giveUpSoon     = 300 * time.Millisecond // the same, where no further loss could be borne until then
	standstill     = 3 * time.Second        // between two rounds: this process was stopped itself
	unsettledTicks = 2                      // rounds of upkeep after which an undecided value is finished
)

// upkeep learns decided values that were missed, and keeps the members and the
// known stores in order.
type upkeep struct {
	replica        *replica
	reconciliation *reconciliation
	stores         func() []view.NodeState
	heardBy        func(node string) []string // the monitors that say of a store that it lives
	tolerated      int                        // machines that may be lost at once
	unsettled      int
	ticked         time.Time
	gone           map[string]time.Time // known stores that do not live, since when
}

// newUpkeep returns the upkeep of a member.
func newUpkeep(
	replica *replica, retirement *retirement, stores func() []view.NodeState, heardBy func(string) []string, tolerated int,
) *upkeep {
	return &upkeep{
		replica: replica, stores: stores, heardBy: heardBy, tolerated: tolerated,
		reconciliation: &reconciliation{replica: replica, retirement: retirement, stores: stores, tolerated: tolerated},
	}
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
		u.removeSilent(ctx, decided.Value)
		return
	}
	for _, change := range u.due(decided.Value, time.Now()) {
		u.replica.order(ctx, change)
	}
	u.reconciliation.advance(ctx, decided.Value)
}

// noteTime excuses the silence of others when this process has stood still.
func (u *upkeep) noteTime(now time.Time) {
	if !u.ticked.IsZero() && now.Sub(u.ticked) > standstill {
		u.replica.forgiveSilence()
		u.gone = nil
	}
	u.ticked = now
}

// rest waits for the next round, or until a value is known to be missing.
func (u *upkeep) rest(ctx context.Context) {
	pause := upkeepEvery
	if !u.replica.isMember() {
		pause = joinEvery
	}
	if known := u.replica.known().Value; known != nil && u.first(known) && (u.reconciliation.pending(known) || u.storesDiffer(known)) {
		pause = storesEvery
	}
	if u.unsettled > 0 {
		pause = unknownEvery
	}
	if u.pause(ctx, pause*3/4+mathrand.N(pause/2)) {
		time.Sleep(behindPause)
	}
}

// pause waits, less if the stores that live are others than the known ones. It
// reports whether it ended early because a value is known to be missing.
func (u *upkeep) pause(ctx context.Context, whole time.Duration) bool {
	timer := time.NewTimer(whole)
	defer timer.Stop()
	look := time.NewTicker(storesEvery)
	defer look.Stop()
	for {
		select {
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		case <-u.replica.behind:
			return true
		case <-look.C:
			if known := u.replica.known().Value; known != nil && u.storesDiffer(known) && u.first(known) {
				return false
			}
		}
	}
}

// storesDiffer reports whether a store answers that a value does not have, or has
// with another disk, or whether one does not answer.
func (u *upkeep) storesDiffer(value *register.Value) bool {
	answering := answeringStores(u.stores())
	return anyUnknown(value, slices.Collect(maps.Values(answering))) || len(answering) < len(value.Stores)
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

// removeSilent takes a silent member out of an even number of them, where the
// member that acts for all has not: it may have started a moment ago, and begun to
// count the silence anew.
func (u *upkeep) removeSilent(ctx context.Context, value *register.Value) {
	if !register.MayRemove(value) {
		return
	}
	if silent := u.replica.silent(value, replaceAfter+upkeepEvery); len(silent) > 0 {
		u.replica.log.Info("member is removed", "address", silent[0])
		u.replica.order(ctx, register.Remove(silent[0]))
	}
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
	answering := answeringStores(u.stores())
	if stores := slices.Collect(maps.Values(answering)); anyUnknown(value, stores) {
		u.logUnknown(value, stores)
		changes = append(changes, register.SetStores(stores))
	}
	missing := u.missingStores(value, answering, now)
	if change := register.SetMissing(missing); changesAnything(change, value) {
		u.replica.log.Info("stores are given up", "stores", missing, "before", value.Missing)
		changes = append(changes, change)
	}
	return changes
}

// logUnknown logs the stores that are to become known, and who says that they live.
func (u *upkeep) logUnknown(value *register.Value, stores []register.StoreMember) {
	for _, store := range stores {
		if anyUnknown(value, []register.StoreMember{store}) {
			u.replica.log.Info("store becomes known", "node", store.Node, "disk", store.StoreID, "heardBy", u.heardBy(store.Node))
		}
	}
}

// anyUnnamed reports whether a member lacks a name that is known.
func anyUnnamed(value *register.Value, names map[string]register.Member) bool {
	return slices.ContainsFunc(value.Members, func(m register.Member) bool {
		return m.Node == "" && names[m.Address].Node != ""
	})
}

// anyUnknown reports whether the value lacks a store or has an outdated entry.
func anyUnknown(value *register.Value, stores []register.StoreMember) bool {
	return changesAnything(register.SetStores(stores), value)
}

// changesAnything reports whether a change would change a value.
func changesAnything(change register.Change, value *register.Value) bool {
	_, outcome := change(value)
	return outcome == register.Taken
}

// answeringStores returns the stores that live and are not suspected to be lost.
func answeringStores(states []view.NodeState) map[string]register.StoreMember {
	return liveStores(slices.DeleteFunc(slices.Clone(states), func(state view.NodeState) bool { return state.Suspect }))
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

// missingStores returns the known stores that are given up: those that have been
// gone for a while, where enough others live to go on without them. Until one is
// removed it counts among the stores whose grants may be missing, and so takes the
// place of the next loss. The time only paces this, and one that is back is taken
// back: what lets a store be removed is a reconciliation.
func (u *upkeep) missingStores(value *register.Value, answering map[string]register.StoreMember, now time.Time) []string {
	u.noteGone(value, answering, now)
	living, staying := 0, 0
	for _, store := range value.Stores {
		if _, answers := answering[store.Node]; answers {
			living++
			if !value.IsLeaving(store.Node) {
				staying++
			}
		}
	}
	if staying < 2*u.tolerated+1 {
		return nil
	}
	after := giveUpAfter
	if living <= len(value.Stores)-u.tolerated {
		after = giveUpSoon
	}
	var missing []string
	for node, since := range u.gone {
		if now.Sub(since) > after || value.IsMissing(node) {
			missing = append(missing, node)
		}
	}
	slices.Sort(missing)
	return missing
}

// noteGone notes since when the known stores that do not answer have been gone.
func (u *upkeep) noteGone(value *register.Value, answering map[string]register.StoreMember, now time.Time) {
	gone := map[string]time.Time{}
	for _, store := range value.Stores {
		if _, answers := answering[store.Node]; answers {
			continue
		}
		gone[store.Node] = now
		if since, noted := u.gone[store.Node]; noted {
			gone[store.Node] = since
		}
	}
	u.gone = gone
}
