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

// follower keeps a copy of a grantor's table by its changes.
type follower struct {
	version  uint64
	whole    int // times that the whole table was needed
	sessions map[protocol.SessionName]bool
	holders  map[string]string
}

func (f *follower) follow(g *Grantor) {
	changes, some := g.ChangesSince(f.version, "dispatcher")
	f.version = g.Version()
	if !some {
		f.whole++
		f.sessions, f.holders = wholeTable(g)
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

func wholeTable(g *Grantor) (map[protocol.SessionName]bool, map[string]string) {
	sessions, holders := map[protocol.SessionName]bool{}, map[string]string{}
	for _, session := range g.Sessions("dispatcher") {
		sessions[session.Identity.Session()] = session.Ready
	}
	g.EachLease(func(name, holder string, _ uint64) { holders[name] = holder })
	return sessions, holders
}

// Whoever follows the changes has the table that a whole reading gives, whatever happens between.
func TestChangesMakeUpTheTable(t *testing.T) {
	for seed := range uint64(40) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		g := NewGrantor(now, 100, nil)
		g.PromisesComplete()
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
				g.Touch(name)
			}
			f := followers[random.IntN(len(followers))]
			f.follow(g)
			sessions, holders := wholeTable(g)
			if !maps.Equal(f.sessions, sessions) || !maps.Equal(f.holders, holders) {
				t.Fatalf("seed %d: sessions %v, holders %v, want %v and %v", seed, f.sessions, f.holders, sessions, holders)
			}
		}
		for _, f := range followers {
			c.Assert(f.whole, qt.Equals, 1)
		}
	}
}

// A version of an earlier life of the store, and one whose changes are forgotten, need the whole table.
func TestOldVersionsNeedTheWholeTable(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	g := NewGrantor(now, 100, nil)
	for _, version := range []uint64{0, 99, 101} {
		_, some := g.ChangesSince(version, "dispatcher")
		c.Check(some, qt.IsFalse, qt.Commentf("version %d", version))
	}
	known := g.Version()
	for n := range endedMost + 1 {
		g.Renew(now, protocol.Identity{Node: "edge-1", Role: "dispatcher", Incarnation: uint64(n + 1)}, true, 1)
	}
	_, some := g.ChangesSince(known, "dispatcher")
	c.Check(some, qt.IsTrue)
	g.Renew(now, protocol.Identity{Node: "edge-1", Role: "dispatcher", Incarnation: endedMost + 2}, true, 1)
	_, some = g.ChangesSince(known, "dispatcher")
	c.Check(some, qt.IsFalse)
}
