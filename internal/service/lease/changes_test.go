package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
)

// follower maintains a copy of a grantor's sessions and leases from ChangesSince.
type follower struct {
	version   uint64
	fullReads int // how often the full table was read
	sessions  map[protocol.SessionName]bool
	holders   map[string]string
}

func (f *follower) follow(g *Grantor) {
	changes, complete := g.ChangesSince(f.version, "dispatcher")
	f.version = g.Version()
	if !complete {
		f.fullReads++
		f.sessions, f.holders = fullTable(g)
		return
	}
	for _, ended := range changes.Ended {
		delete(f.sessions, ended)
	}
	for _, session := range changes.Sessions {
		f.sessions[session.Identity.Session()] = session.Ready
	}
	for _, name := range changes.Queues {
		if holder, _ := g.Lease(name); holder != "" {
			f.holders[name] = holder
		} else {
			delete(f.holders, name)
		}
	}
}

func fullTable(g *Grantor) (map[protocol.SessionName]bool, map[string]string) {
	sessions, holders := map[protocol.SessionName]bool{}, map[string]string{}
	for _, session := range g.Sessions("dispatcher") {
		sessions[session.Identity.Session()] = session.Ready
	}
	g.EachLease(func(name, holder string, _ uint64) { holders[name] = holder })
	return sessions, holders
}

// A copy that is maintained from changes equals the full table after any sequence of operations.
func TestChangesReproduceTheTable(t *testing.T) {
	for seed := range uint64(40) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		g := NewGrantor(now, 100, nil)
		g.SetPromisesComplete()
		followers := []*follower{{}, {}}
		epochs := map[string]uint64{}
		for range 2000 {
			identity := protocol.Identity{Node: fmt.Sprint("edge-", random.IntN(8)), Role: "dispatcher", Incarnation: uint64(1 + random.IntN(3))}
			name := fmt.Sprint("ordered/", random.IntN(12))
			switch random.IntN(6) {
			case 0:
				now = now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
				g.Expire(now)
			case 1, 2:
				g.Renew(now, identity, random.IntN(4) > 0, 1)
			case 3:
				epochs[name]++
				g.Acquire(now, identity, 1, name, epochs[name], false)
			case 4:
				_, epoch := g.Lease(name)
				g.Release(now, identity, name, epoch)
			case 5:
				g.MarkChanged(name)
			}
			f := followers[random.IntN(len(followers))]
			f.follow(g)
			sessions, holders := fullTable(g)
			if !maps.Equal(f.sessions, sessions) || !maps.Equal(f.holders, holders) {
				t.Fatalf("seed %d: sessions %v, holders %v, want %v and %v", seed, f.sessions, f.holders, sessions, holders)
			}
		}
		for _, f := range followers {
			c.Assert(f.fullReads, qt.Equals, 1)
		}
	}
}

// ChangesSince reports false for a version of another run of the store, and for one whose changes are no longer kept.
func TestOldVersionsNeedTheFullTable(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	g := NewGrantor(now, 100, nil)
	for _, version := range []uint64{0, 99, 101} {
		_, complete := g.ChangesSince(version, "dispatcher")
		c.Check(complete, qt.IsFalse, qt.Commentf("version %d", version))
	}
	known := g.Version()
	for n := range maxEndedSessions + 1 {
		g.Renew(now, protocol.Identity{Node: "edge-1", Role: "dispatcher", Incarnation: uint64(n + 1)}, true, 1)
	}
	_, complete := g.ChangesSince(known, "dispatcher")
	c.Check(complete, qt.IsTrue)
	g.Renew(now, protocol.Identity{Node: "edge-1", Role: "dispatcher", Incarnation: maxEndedSessions + 2}, true, 1)
	_, complete = g.ChangesSince(known, "dispatcher")
	c.Check(complete, qt.IsFalse)
}

// Changes tell which processes make attempts for others.
func TestRelaysAreReported(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	g := NewGrantor(now, 100, nil)
	edge := protocol.Identity{Node: "edge-1", Role: "dispatcher", Incarnation: 1}
	g.SetRelays(edge, true)
	g.Renew(now, edge, true, 1)
	known := g.Version()
	g.SetRelays(edge, true)
	changes, _ := g.ChangesSince(known, "dispatcher")
	c.Check(changes.Sessions, qt.DeepEquals, []protocol.Session{{Identity: edge, Ready: true, Relays: true}})
	c.Check(g.Sessions("dispatcher"), qt.DeepEquals, changes.Sessions)
	known = g.Version()
	g.SetRelays(edge, true)
	c.Check(g.Version(), qt.Equals, known)
}
