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

// Intervals and timeouts of the maintenance loop.
const (
	maintenanceInterval = time.Second
	joinInterval        = 300 * time.Millisecond
	undecidedInterval   = 100 * time.Millisecond // while no majority has confirmed a decided value
	catchUpDelay        = 20 * time.Millisecond
	silenceLimit        = 3 * time.Second        // a silent member may then be replaced, or removed from an even number of members
	storeCheckInterval  = 200 * time.Millisecond // while stores are being evacuated or filled
	missingAfter        = 2 * time.Second        // from when the monitors suspect a store until it is marked missing
	missingAfterUrgent  = 300 * time.Millisecond // the same, if no further loss is tolerated until then
	stallThreshold      = 3 * time.Second        // a longer gap between ticks means that this process was stopped
	settleAfterTicks    = 2                      // ticks after which an undecided value is settled
)

// maintenance is the maintenance loop: it fetches decided values that this member
// missed, and keeps the members and the known stores up to date.
type maintenance struct {
	replica          *replica
	reconciliation   *reconciliation
	stores           func() []view.NodeState
	heardBy          func(node string) []string // the monitors that report a store as alive
	tolerated        int                        // number of machines whose simultaneous loss is tolerated
	undecidedTicks   int
	lastTick         time.Time
	unavailableSince map[string]time.Time // known stores that do not answer, and since when
}

// newMaintenance returns the maintenance loop of a member.
func newMaintenance(
	replica *replica, retirement *retirement, stores func() []view.NodeState, heardBy func(string) []string, tolerated int,
) *maintenance {
	return &maintenance{
		replica: replica, stores: stores, heardBy: heardBy, tolerated: tolerated,
		reconciliation: &reconciliation{replica: replica, retirement: retirement, stores: stores, tolerated: tolerated},
	}
}

// run runs the loop until the context ends.
func (m *maintenance) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.tick(ctx)
		m.waitForNextTick(ctx)
	}
}

// tick runs one round of maintenance.
func (m *maintenance) tick(ctx context.Context) {
	m.detectStall(time.Now())
	decided, known := m.replica.survey(ctx)
	if !known {
		m.undecidedTicks++
		if m.undecidedTicks >= settleAfterTicks {
			m.undecidedTicks = 0
			m.replica.proposeWithTimeout(ctx, register.ConfirmDecided)
		}
		return
	}
	m.undecidedTicks = 0
	if !m.replica.isMember() {
		if m.replica.hasRoomFor(decided.Value) {
			m.replica.requestJoin(ctx, decided.Value)
		}
		return
	}
	if !m.isActing(decided.Value) {
		m.removeSilentMember(ctx, decided.Value)
		return
	}
	for _, change := range m.pendingChanges(decided.Value, time.Now()) {
		m.replica.proposeWithTimeout(ctx, change)
	}
	m.reconciliation.step(ctx, decided.Value)
}

// detectStall restarts the silence timers of members and stores if this process was stalled.
func (m *maintenance) detectStall(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > stallThreshold {
		m.replica.resetSilence()
		m.unavailableSince = nil
	}
	m.lastTick = now
}

// waitForNextTick waits for the next tick. It returns earlier if this member misses a value.
func (m *maintenance) waitForNextTick(ctx context.Context) {
	pause := maintenanceInterval
	if !m.replica.isMember() {
		pause = joinInterval
	}
	if known := m.replica.known().Value; known != nil && m.isActing(known) && (m.reconciliation.hasWork(known) || m.storesDiffer(known)) {
		pause = storeCheckInterval
	}
	if m.undecidedTicks > 0 {
		pause = undecidedInterval
	}
	if m.wait(ctx, pause*3/4+mathrand.N(pause/2)) {
		time.Sleep(catchUpDelay)
	}
}

// wait waits, but ends early if the live stores differ from the known ones or if
// this member misses a decided value. It reports whether the latter was the cause.
func (m *maintenance) wait(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	ticker := time.NewTicker(storeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		case <-m.replica.behind:
			return true
		case <-ticker.C:
			if known := m.replica.known().Value; known != nil && m.storesDiffer(known) && m.isActing(known) {
				return false
			}
		}
	}
}

// storesDiffer reports whether the answering stores differ from those of a value:
// one is new or has another disk, or a known store does not answer.
func (m *maintenance) storesDiffer(value *register.Value) bool {
	answering := answeringStores(m.stores())
	return needsStoreUpdate(value, slices.Collect(maps.Values(answering))) || len(answering) < len(value.Stores)
}

// isActing reports whether all members listed before this one are silent. Only that
// member does the maintenance. Two that both do it do no harm to the register.
func (m *maintenance) isActing(value *register.Value) bool {
	silent := m.replica.silentMembers(value, silenceLimit)
	for _, member := range value.Members {
		if member.Address == m.replica.identity.Address {
			return true
		}
		if !slices.Contains(silent, member.Address) {
			return false
		}
	}
	return false
}

// removeSilentMember removes a silent member from an even number of members if the acting
// member has not done so: it may have restarted, which restarts its silence timers.
func (m *maintenance) removeSilentMember(ctx context.Context, value *register.Value) {
	if !register.MayRemoveMember(value) {
		return
	}
	if silent := m.replica.silentMembers(value, silenceLimit+maintenanceInterval); len(silent) > 0 {
		m.replica.log.Info("removing silent member", "address", silent[0])
		m.replica.proposeWithTimeout(ctx, register.RemoveMember(silent[0]))
	}
}

// pendingChanges returns the changes that a value needs.
func (m *maintenance) pendingChanges(value *register.Value, now time.Time) []register.Change {
	var changes []register.Change
	if len(value.Previous) > 0 {
		changes = append(changes, register.ClearPrevious)
	}
	if names := m.replica.copyMemberDetails(); anyUnnamed(value, names) {
		changes = append(changes, register.NameMembers(names))
	}
	if silent := m.replica.silentMembers(value, silenceLimit); len(silent) > 0 && register.MayRemoveMember(value) {
		m.replica.log.Info("removing silent member", "address", silent[0])
		changes = append(changes, register.RemoveMember(silent[0]))
	}
	answering := answeringStores(m.stores())
	if stores := slices.Collect(maps.Values(answering)); needsStoreUpdate(value, stores) {
		m.logStoreUpdates(value, stores)
		changes = append(changes, register.SetStores(stores))
	}
	missing := m.missingStores(value, answering, now)
	if change := register.SetMissing(missing); changesAnything(change, value) {
		m.replica.log.Info("missing stores changed", "stores", missing, "before", value.Missing)
		changes = append(changes, change)
	}
	return changes
}

// logStoreUpdates logs the stores that are added or updated, and which monitors report them as alive.
func (m *maintenance) logStoreUpdates(value *register.Value, stores []register.StoreMember) {
	for _, store := range stores {
		if needsStoreUpdate(value, []register.StoreMember{store}) {
			m.replica.log.Info("adding or updating store", "node", store.Node, "disk", store.StoreID, "heardBy", m.heardBy(store.Node))
		}
	}
}

// anyUnnamed reports whether a member of the value has no name although it is known.
func anyUnnamed(value *register.Value, names map[string]register.Member) bool {
	return slices.ContainsFunc(value.Members, func(m register.Member) bool {
		return m.Node == "" && names[m.Address].Node != ""
	})
}

// needsStoreUpdate reports whether the value lacks a store or has an outdated entry.
func needsStoreUpdate(value *register.Value, stores []register.StoreMember) bool {
	return changesAnything(register.SetStores(stores), value)
}

// changesAnything reports whether a change would change a value.
func changesAnything(change register.Change, value *register.Value) bool {
	_, outcome := change(value)
	return outcome == register.Taken
}

// answeringStores returns the live stores that are not suspected, by node.
func answeringStores(states []view.NodeState) map[string]register.StoreMember {
	return liveStores(slices.DeleteFunc(slices.Clone(states), func(state view.NodeState) bool { return state.Suspect }))
}

// liveStores returns the live stores, by node.
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

// missingStores returns the known stores to mark as missing: those that have not
// answered for a while, provided that enough others are live. Until a missing store
// is removed, it counts as one of the tolerated losses, since its grants may be
// missing. The delay only paces the marking, and a store that answers again is
// unmarked; a store is removed only after a reconciliation.
func (m *maintenance) missingStores(value *register.Value, answering map[string]register.StoreMember, now time.Time) []string {
	m.trackUnavailable(value, answering, now)
	live, staying := 0, 0
	for _, store := range value.Stores {
		if _, answers := answering[store.Node]; answers {
			live++
			if !value.IsLeaving(store.Node) {
				staying++
			}
		}
	}
	if staying < 2*m.tolerated+1 {
		return nil
	}
	delay := missingAfter
	if live <= len(value.Stores)-m.tolerated {
		delay = missingAfterUrgent
	}
	var missing []string
	for node, since := range m.unavailableSince {
		if now.Sub(since) > delay || value.IsMissing(node) {
			missing = append(missing, node)
		}
	}
	slices.Sort(missing)
	return missing
}

// trackUnavailable records since when each known store has not answered.
func (m *maintenance) trackUnavailable(value *register.Value, answering map[string]register.StoreMember, now time.Time) {
	unavailable := map[string]time.Time{}
	for _, store := range value.Stores {
		if _, answers := answering[store.Node]; answers {
			continue
		}
		unavailable[store.Node] = now
		if since, known := m.unavailableSince[store.Node]; known {
			unavailable[store.Node] = since
		}
	}
	m.unavailableSince = unavailable
}
