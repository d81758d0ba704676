package handover

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func store(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := New(folder, "n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Leave() })
	return s
}

func change(t *testing.T, s *Store, f func(*State)) {
	t.Helper()
	if err := s.Change(f); err != nil {
		t.Fatal(err)
	}
}

// What one process writes the next one reads, whatever the names look like.
func TestOutlives(t *testing.T) {
	folder := t.TempDir()
	first := store(t, folder)
	change(t, first, func(s *State) {
		s.Drain, s.Out["s-1 \n\"x\""] = true, 5*time.Second
		s.List([]string{"s-1", "s-2", "s-1"})
	})
	second := store(t, folder)
	if changed, err := second.Look(); !changed || err != nil {
		t.Fatal(changed, err)
	}
	if !reflect.DeepEqual(first.State(), second.State()) || len(second.State().Listed) != 2 {
		t.Errorf("written %+v, read %+v", first.State(), second.State())
	}
	change(t, first, func(s *State) { s.Drain = false })
	if changed, err := second.Look(); !changed || err != nil || second.State().Drain {
		t.Errorf("changed %t, %v: %+v", changed, err, second.State())
	}
	if changed, _ := second.Look(); changed {
		t.Error("the same state is told as a change")
	}
}

// What is asked of zones is kept, and so is a line of another build that this one cannot read.
func TestOtherBuilds(t *testing.T) {
	line := `{"gauge":7}`
	text := fmt.Sprintf("%08x %s\n", crc32.ChecksumIEEE([]byte(line)), line)
	own, err := (&State{Zones: map[string]Zone{"b": {3, true}}}).text("n")
	if err != nil {
		t.Fatal(err)
	}
	s, err := read(append(own, text...), "n")
	if err != nil || s.Zones["b"] != (Zone{3, true}) {
		t.Fatalf("%+v, %v", s, err)
	}
	again := s.Clone()
	if got, err := again.text("n"); err != nil || !strings.HasSuffix(string(got), text) {
		t.Errorf("%s, %v: the other build's line is lost", got, err)
	}
}

// Both write at the same moment, many times over: nothing of either is lost. A writer that
// does not get the lock in time, as on a slow disk, has changed nothing and tries again.
func TestTwoWriters(t *testing.T) {
	folder := t.TempDir()
	var done sync.WaitGroup
	for w := range 2 {
		s := store(t, folder)
		done.Add(1)
		go func() {
			defer done.Done()
			for i := range 50 {
				err := error(unix.EAGAIN)
				for tries := 0; errors.Is(err, unix.EAGAIN) && tries < 1000; tries++ {
					err = s.Change(func(st *State) { st.Out[fmt.Sprint(w, "-", i)] = 1 })
				}
				if err != nil {
					t.Error(err)
				}
			}
		}()
	}
	done.Wait()
	s := store(t, folder)
	s.Look()
	if n := len(s.State().Out); n != 100 {
		t.Errorf("%d of 100 changes are there", n)
	}
}

// A damaged line costs that line and is told once; a foreign state counts for
// nothing; a half that a killed process has left beside is passed over.
func TestDamage(t *testing.T) {
	folder := t.TempDir()
	s := store(t, folder)
	change(t, s, func(s *State) { s.Out["a"], s.Out["b"], s.Out["c"] = 1, 1, 1 })
	whole, err := os.ReadFile(s.path("state"))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(s.path("state.new"), whole[:20], 0o600)
	for _, c := range []struct {
		text string
		left []string
		want string
	}{
		{strings.Replace(string(whole), `"out":"b"`, `"out":"x"`, 1), []string{"a", "c"}, "1 lines"},
		{string(whole[:len(whole)-3]), []string{"a", "b"}, "1 lines"},
		{"garbage\n\x00\xff" + string(whole), []string{"a", "b", "c"}, "2 lines"},
		{string(whole[strings.Index(string(whole), "\n")+1:]), []string{"a", "b", "c"}, "damaged"},
		{"", nil, ""},
	} {
		if err := os.WriteFile(s.path("state"), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		other := store(t, folder)
		_, err := other.Look()
		var left []string
		for name := range other.State().Out {
			left = append(left, name)
		}
		slices.Sort(left)
		if !slices.Equal(left, c.left) || (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.30q: %v left, %v; want %v, %q", c.text, left, err, c.left, c.want)
		}
		if _, err := other.Look(); err != nil {
			t.Errorf("told again: %v", err)
		}
		change(t, other, func(s *State) { s.Drain = true }) // and what is left is whole again
		if _, err := store(t, folder).Look(); err != nil {
			t.Errorf("after a change: %v", err)
		}
	}
	os.WriteFile(s.path("state"), []byte(strings.NewReplacer(`"n0"`, `"n1"`).Replace(string(whole))), 0o600)
	foreign := NewState()
	foreign.Drain = true
	text, _ := foreign.text("n1")
	os.WriteFile(s.path("state"), text, 0o600)
	other := store(t, folder)
	if _, err := other.Look(); err == nil || !strings.Contains(err.Error(), "n1") || other.State().Drain {
		t.Errorf("of another dispatcher: %v, %+v", err, other.State())
	}
}

// Who lives is seen by its lock, however others have ended.
func TestRuns(t *testing.T) {
	folder := t.TempDir()
	first, second := store(t, folder), store(t, folder)
	for _, s := range []*Store{first, second} {
		if err := s.Enter(Starting); err != nil {
			t.Fatal(err)
		}
	}
	if err := second.Enter(Ready); err != nil {
		t.Fatal(err)
	}
	first.Look()
	if peers := first.Peers(); len(peers) != 1 || peers[second.Token()] != Ready {
		t.Errorf("peers %v", peers)
	}
	second.own.Close() // killed: its lock goes, its line and its file stay
	second.own = nil
	if peers := first.Peers(); len(peers) != 0 {
		t.Errorf("a dead process is a peer: %v", peers)
	}
	change(t, first, func(s *State) { s.Drain = true })
	if _, there := first.State().Runs[second.Token()]; there {
		t.Error("a dead process stays booked")
	}
	if _, err := os.Stat(first.path("run-" + second.Token())); !os.IsNotExist(err) {
		t.Errorf("its file stays: %v", err)
	}
}

// A process whose lock cannot be looked at is not taken for dead, and a state that
// was removed is written anew, though what it says is the same.
func TestNotStruckOff(t *testing.T) {
	folder := t.TempDir()
	first := store(t, folder)
	other := first.path("run-abc")
	change(t, first, func(s *State) { s.Out["a"] = 1 })
	if err := os.Symlink(other, other); err != nil { // opening it fails, and it is there
		t.Fatal(err)
	}
	change(t, first, func(s *State) { s.Runs["abc"] = Ready })
	if first.Peers()["abc"] != Ready {
		t.Error("a process is taken for dead that could not be looked at")
	}
	os.Remove(first.path("state"))
	change(t, first, func(s *State) { s.Out["a"] = 1 })
	second := store(t, folder)
	if second.Look(); second.State().Out["a"] != 1 {
		t.Error("after the state was removed a yes is not written down")
	}
}

// An id that one process has in hand is not taken by another, until it is released
// or its process has ended; thousands of others do not get in its way.
func TestClaims(t *testing.T) {
	folder := t.TempDir()
	first, second := store(t, folder), store(t, folder)
	for _, s := range []*Store{first, second} {
		if err := s.Enter(Ready); err != nil {
			t.Fatal(err)
		}
	}
	first.Look()
	for _, s := range []*Store{first, second} {
		s.Peers()
	}
	id := func(i int) []byte { return fmt.Append(nil, "message ", i) }
	for round := range 5 {
		for i := range 2000 {
			if !first.Claim(id(i)) {
				t.Fatalf("round %d: message %d is not to be had", round, i)
			}
		}
		for i := range 2000 {
			if second.Claim(id(i)) {
				t.Fatalf("round %d: message %d is in two hands", round, i)
			}
			if !second.Claim(id(i + 10000)) {
				t.Fatalf("round %d: message %d is taken for one in hand", round, i+10000)
			}
			first.Release(id(i))
			second.Release(id(i + 10000))
		}
	}
	first.Claim(id(1))
	first.own.Close() // killed
	first.own = nil
	second.Peers()
	if !second.Claim(id(1)) {
		t.Error("what a dead process had in hand is not to be had")
	}
}

// What cannot be written has not happened, and is told.
func TestNotWritten(t *testing.T) {
	folder := t.TempDir()
	s := store(t, folder)
	change(t, s, func(s *State) { s.Out["a"] = 1 })
	os.Mkdir(s.path("state.new"), 0o700) // so that nothing can be written there
	if err := s.Change(func(s *State) { s.Out["b"] = 1 }); err == nil {
		t.Error("a change that cannot be written is told as done")
	}
	if _, out := s.State().Out["b"]; out || len(s.State().Out) != 1 {
		t.Errorf("it counts all the same: %v", s.State().Out)
	}
}
