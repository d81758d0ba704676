package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

var errCut = errors.New("cut off")

const hopTime = time.Millisecond

// memoryStorage is a Storage without a disk. It does not sleep: simulated time
// stands still while a goroutine waits for a mutex.
type memoryStorage struct {
	state register.State
	found bool
}

func (m *memoryStorage) Save(state register.State) error {
	m.state, m.found = state, true
	return nil
}

// network links replicas inside a bubble of simulated time.
type network struct {
	mutex    sync.Mutex
	replicas map[string]*replica
	disks    map[string]*memoryStorage
	cut      map[string]bool // addresses that nobody reaches and that reach nobody
	dropped  func(to string, request any) bool
	stores   map[string]func(request any) any // answers of stores, by address
}

func newNetwork() *network {
	return &network{
		replicas: map[string]*replica{}, disks: map[string]*memoryStorage{}, cut: map[string]bool{},
		dropped: func(string, any) bool { return false }, stores: map[string]func(any) any{},
	}
}

// link is the network as one process sees it.
type link struct {
	network *network
	from    string
}

func (l link) call(ctx context.Context, address string, request any) (any, error) {
	n := l.network
	n.mutex.Lock()
	store := n.stores[address]
	target, lost := n.replicas[address], n.cut[address] || n.cut[l.from] || n.dropped(address, request)
	n.mutex.Unlock()
	if store != nil {
		return store(request), nil
	}
	if target == nil || lost {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(hopTime)
	var answer any
	var err error
	if join, ok := request.(joinRequest); ok {
		answer = joinReply{Joined: target.admit(ctx, join.Member)}
	} else {
		answer, err = target.callSelf(request)
	}
	time.Sleep(hopTime)
	return answer, err
}

func coreAddress(index int) string { return fmt.Sprintf("10.0.0.%d:7784", index) }

var coreSeeds = []string{coreAddress(1), coreAddress(2), coreAddress(3)}

// start starts a process with the disk that it has.
func (n *network) start(c *qt.C, index int, bootstrap bool) *replica {
	address := coreAddress(index)
	disk := n.disks[address]
	if disk == nil {
		disk = &memoryStorage{}
		n.disks[address] = disk
	}
	identity := protocol.Identity{Node: "core-" + strconv.Itoa(index), Role: roleName, Zone: "zone", Address: address}
	r, err := newReplica(identity, coreSeeds, bootstrap, disk, disk.state, disk.found, link{n, address}, logr.Discard())
	c.Assert(err, qt.IsNil)
	n.mutex.Lock()
	n.replicas[address] = r
	n.mutex.Unlock()
	return r
}

func (n *network) stop(index int) {
	n.mutex.Lock()
	delete(n.replicas, coreAddress(index))
	n.mutex.Unlock()
}

func (n *network) wipe(index int) {
	n.stop(index)
	delete(n.disks, coreAddress(index))
}

func (n *network) setCut(cut bool, indices ...int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, index := range indices {
		n.cut[coreAddress(index)] = cut
	}
}

// drop sets which requests are lost.
func (n *network) drop(dropped func(to string, request any) bool) {
	n.mutex.Lock()
	n.dropped = dropped
	n.mutex.Unlock()
}

// inBubble runs a test on three members in simulated time.
func inBubble(t *testing.T, test func(c *qt.C, n *network, core []*replica)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		core := []*replica{nil}
		for index := 1; index <= 3; index++ {
			core = append(core, n.start(c, index, true))
		}
		test(c, n, core)
		time.Sleep(10 * time.Second) // calls that were cut off end
	})
}

func replace(r *replica, base, revision int64) register.Outcome {
	return r.order(context.Background(), register.Replace(base, revision, []byte(strconv.FormatInt(revision, 10)))).Outcome
}

func revisionAt(c *qt.C, r *replica) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	value, decided := r.newest(ctx)
	c.Assert(decided, qt.IsTrue)
	return value.Revision
}

// testUpkeep returns the upkeep of a member that sees no store live.
func testUpkeep(r *replica) *upkeep {
	return newUpkeep(r, newRetirement(r), func() []view.NodeState { return nil }, heardByNobody, 1)
}

func TestOrdersAreTakenAndRefused(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *network, core []*replica) {
		began := time.Now()
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		c.Assert(time.Since(began) < 50*time.Millisecond, qt.IsTrue)
		c.Assert(replace(core[2], 0, 3), qt.Equals, register.Taken)
		c.Assert(replace(core[2], 0, 4), qt.Equals, register.Stale)
		c.Assert(replace(core[3], 3, 2), qt.Equals, register.Invalid)
		c.Assert(replace(core[3], 3, 9), qt.Equals, register.Taken)
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		c.Assert(revisionAt(c, core[2]), qt.Equals, int64(9))
	})
}

func TestMinorityAnswersUndecidedInTime(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		n.setCut(true, 2, 3)
		began := time.Now()
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Undecided)
		c.Assert(time.Since(began) <= orderTimeout, qt.IsTrue)
		n.setCut(false, 2, 3)
		c.Assert(replace(core[2], 0, 4), qt.Equals, register.Taken)
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Stale)
	})
}

// TestUndecidedChangeIsFinishedBeforeARefusal has one member accept a change
// whose proposer then falls silent.
func TestUndecidedChangeIsFinishedBeforeARefusal(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		n.drop(func(to string, request any) bool {
			_, accept := request.(register.Accept)
			return accept && to != coreAddress(2)
		})
		core[1].storageFails(true)
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Undecided)
		core[1].storageFails(false)
		n.drop(func(string, any) bool { return false })
		n.setCut(true, 1)
		c.Assert(replace(core[3], 0, 4), qt.Equals, register.Stale)
		c.Assert(revisionAt(c, core[3]), qt.Equals, int64(3))
		n.setCut(false, 1)
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
	})
}

// storageFails makes the acceptor's accepted values fail to be saved.
func (r *replica) storageFails(fails bool) {
	release := r.useAcceptor()
	defer release()
	state := r.acceptor.State()
	var storage register.Storage = &memoryStorage{}
	if fails {
		storage = refusesValues{}
	}
	r.acceptor = register.NewAcceptor(r.identity.Address, state, storage)
}

// refusesValues saves promises only.
type refusesValues struct{}

func (refusesValues) Save(state register.State) error {
	if state.Accepted != (register.Ballot{}) {
		return errors.New("disk full")
	}
	return nil
}

func TestEightOrdersAtOnce(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *network, core []*replica) {
		outcomes := make([]register.Outcome, 8)
		began := time.Now()
		var group sync.WaitGroup
		for i := range outcomes {
			group.Go(func() { outcomes[i] = replace(core[1+i%3], 0, int64(10+i)) })
		}
		group.Wait()
		count := map[register.Outcome]int{}
		for _, outcome := range outcomes {
			count[outcome]++
		}
		c.Assert(count[register.Taken], qt.Equals, 1)
		c.Assert(count[register.Stale], qt.Equals, 7, qt.Commentf("%v", count))
		c.Logf("eight orders on one base took %v", time.Since(began))
	})
}

func TestMemberThatMissedAChangeCatchesUp(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		n.setCut(true, 3)
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		n.setCut(false, 3)
		testUpkeep(core[3]).tick(context.Background())
		c.Assert(core[3].known().Value.Revision, qt.Equals, int64(3))
	})
}

func TestOtherMembersLearnAtOnce(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *network, core []*replica) {
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		time.Sleep(20 * time.Millisecond)
		for _, r := range core[1:] {
			c.Assert(r.known().Value.Revision, qt.Equals, int64(3))
		}
	})
}

func TestMemberWithALostDiskJoinsAgain(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		n.wipe(3)
		third := n.start(c, 3, false)
		n.setCut(true, 2)
		testUpkeep(third).tick(context.Background())
		c.Assert(third.isMember(), qt.IsFalse, qt.Commentf("joined without the majority that has not forgotten"))
		c.Assert(replace(core[1], 3, 4), qt.Equals, register.Undecided)
		n.setCut(false, 2)
		time.Sleep(5 * time.Second)
		testUpkeep(third).tick(context.Background())
		c.Assert(third.isMember(), qt.IsTrue)
		n.setCut(true, 1)
		current := revisionAt(c, core[2])
		c.Assert(replace(third, current, 9), qt.Equals, register.Taken)
	})
}

func TestFurtherMembersAreAddedAndReplaced(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		for index := 4; index <= 5; index++ {
			r := n.start(c, index, true)
			core = append(core, r)
			testUpkeep(r).tick(context.Background())
			c.Assert(r.isMember(), qt.IsTrue)
		}
		c.Assert(core[5].known().Value.Members, qt.HasLen, 5)
		n.setCut(true, 1, 2)
		c.Assert(replace(core[4], 0, 3), qt.Equals, register.Taken)

		time.Sleep(replaceAfter + time.Second)
		for _, r := range core[3:] {
			testUpkeep(r).tick(context.Background())
		}
		sixth := n.start(c, 6, false)
		testUpkeep(sixth).tick(context.Background())
		c.Assert(sixth.isMember(), qt.IsTrue)
		c.Assert(sixth.known().Value.Members, qt.HasLen, 5)
		c.Assert(revisionAt(c, sixth), qt.Equals, int64(3))
	})
}

// TestStandbyAsksOnlyForAFreePlace starts one process more than there may be members: it asks for no place
// while none is free, and takes that of a member that falls silent.
func TestStandbyAsksOnlyForAFreePlace(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		for index := 4; index <= membersMost; index++ {
			core = append(core, n.start(c, index, true))
			testUpkeep(core[index]).tick(context.Background())
		}
		asked := 0
		n.drop(func(_ string, request any) bool {
			if _, join := request.(joinRequest); join {
				asked++
			}
			return false
		})
		standby := n.start(c, membersMost+1, true)
		upkeep := testUpkeep(standby)
		for range 10 {
			upkeep.tick(context.Background())
			time.Sleep(joinEvery)
		}
		c.Assert(standby.isMember(), qt.IsFalse)
		c.Assert(asked, qt.Equals, 0)
		n.stop(2)
		for range 20 {
			upkeep.tick(context.Background())
			testUpkeep(core[1]).tick(context.Background())
			time.Sleep(joinEvery)
		}
		c.Assert(standby.isMember(), qt.IsTrue)
		c.Assert(standby.known().Value.Members, qt.HasLen, membersMost)
	})
}

// TestLossAfterAReplacement loses a second member once the successor of the
// first has had its time. At no moment are there four members of which one is lost.
func TestLossAfterAReplacement(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		n.stop(1)
		time.Sleep(100 * time.Millisecond)
		fourth := n.start(c, 4, false)
		testUpkeep(fourth).tick(context.Background())
		c.Assert(fourth.isMember(), qt.IsFalse)
		c.Assert(fourth.known().Value.Members, qt.HasLen, 3, qt.Commentf("four of which one is lost bear no further loss"))
		time.Sleep(replaceAfter)
		testUpkeep(fourth).tick(context.Background())
		c.Assert(fourth.isMember(), qt.IsTrue)
		c.Assert(fourth.known().Value.Members, qt.HasLen, 3)
		n.stop(2)
		c.Assert(replace(core[3], 0, 3), qt.Equals, register.Taken)
	})
}

// The member that acts for all restarts just after the loss: another admits the
// successor all the same.
func TestReplacementWhileTheFirstMemberRestarts(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		n.stop(2)
		fourth := n.start(c, 4, false)
		for range 4 { // the first begins to count anew each time
			time.Sleep(replaceAfter/3 - time.Millisecond)
			n.stop(1)
			core[1] = n.start(c, 1, false)
			testUpkeep(fourth).tick(context.Background())
		}
		c.Assert(fourth.isMember(), qt.IsTrue)
		c.Assert(fourth.known().Value.Members, qt.HasLen, 3)
	})
}

// A planned replacement: the new one joins first, then the old one ends. From then
// on there are three members again, at once, and one more may be lost.
func TestMemberThatEndsLeavesAnEvenNumber(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		fourth := n.start(c, 4, false)
		testUpkeep(fourth).tick(context.Background())
		c.Assert(fourth.known().Value.Members, qt.HasLen, 4)
		core[1].leave()
		n.stop(1)
		n.stop(2)
		c.Assert(replace(core[3], 0, 3), qt.Equals, register.Taken)
		c.Assert(core[3].known().Value.Members, qt.HasLen, 3)
		core[3].leave() // three stay: one that starts again comes back as it was
		c.Assert(core[3].known().Value.Members, qt.HasLen, 3)
	})
}

// Of four members one is lost, and the first one starts anew just then: the next
// one removes the lost one.
func TestSilentMemberIsRemovedByAnother(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		fourth := n.start(c, 4, false)
		testUpkeep(fourth).tick(context.Background())
		n.stop(4)
		second := testUpkeep(core[2])
		for range 6 {
			time.Sleep(upkeepEvery)
			n.stop(1)
			core[1] = n.start(c, 1, false)
			testUpkeep(core[1]).tick(context.Background())
			second.tick(context.Background())
		}
		c.Assert(core[2].known().Value.Members, qt.HasLen, 3)
		c.Assert(core[2].known().Value.HasMember("core-4"), qt.IsFalse)
	})
}

func TestAllRestartAtOnce(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		time.Sleep(time.Second)
		for index := 1; index <= 3; index++ {
			n.stop(index)
		}
		for index := 1; index <= 3; index++ {
			core[index] = n.start(c, index, false)
		}
		c.Assert(revisionAt(c, core[2]), qt.Equals, int64(3))
		c.Assert(replace(core[3], 0, 3), qt.Equals, register.Taken)
		c.Assert(replace(core[3], 0, 4), qt.Equals, register.Stale)
	})
}

func TestUpkeepKeepsNamesAndStores(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *network, core []*replica) {
		u := testUpkeep(core[1])
		states := []view.NodeState{
			{Identity: protocol.Identity{Node: "store-1", Role: "store", Zone: "z", Address: "10.0.0.9:7783"}, StoreID: "a", Alive: true},
			{Identity: protocol.Identity{Node: "store-2", Role: "store", Zone: "z", Address: "10.0.0.8:7783"}, StoreID: "b"},
		}
		u.stores = func() []view.NodeState { return states }
		for range 2 {
			u.tick(context.Background())
			time.Sleep(upkeepEvery)
		}
		value := core[1].known().Value
		c.Assert(value.Stores, qt.DeepEquals, []register.StoreMember{{Node: "store-1", Zone: "z", Address: "10.0.0.9:7783", StoreID: "a", FullStoreID: "a", Since: 2}})
		for _, member := range value.Members {
			c.Assert(member.Node, qt.Not(qt.Equals), "")
		}
		states[0].StoreID = "c"
		u.tick(context.Background())
		c.Assert(core[1].known().Value.Stores[0].StoreID, qt.Equals, "c")
		c.Assert(core[1].known().Value.Stores[0].FullStoreID, qt.Equals, "a")
	})
}

func TestStandstillIsNotTheSilenceOfOthers(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *network, core []*replica) {
		u := testUpkeep(core[1])
		u.tick(context.Background())
		time.Sleep(replaceAfter + time.Second)
		c.Assert(core[1].silent(core[1].known().Value, replaceAfter), qt.HasLen, 2)
		u.noteTime(time.Now())
		c.Assert(core[1].silent(core[1].known().Value, replaceAfter), qt.HasLen, 0)
	})
}

func TestNewSeedsLeadAProcessToTheMembers(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		late := n.start(c, 9, false)
		late.setSeeds([]string{coreAddress(7), coreAddress(8)})
		_, known := late.survey(context.Background())
		c.Assert(known, qt.IsFalse)
		late.setSeeds(coreSeeds)
		decided, known := late.survey(context.Background())
		c.Assert(known, qt.IsTrue)
		c.Assert(decided.Value.Revision, qt.Equals, int64(3))
	})
}

// heardByNobody stands in for the monitors' words, which only logs show.
func heardByNobody(string) []string { return nil }
