package handover

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lockTries = 20 // for the lock, which the other process holds for a write
	lockPause = 5 * time.Millisecond
	textMost  = 8 << 20 // bytes of a state that is read
)

// Store keeps a State in a folder that the processes of one dispatcher share.
type Store struct {
	dir        string
	dispatcher string
	token      string
	own        *os.File // locked while this process lives: the kernel lets go of it, however it ends
	text       []byte   // as last read
	state      State
	faulty     string // the fault that was last told of
	ids        *ids   // of this process, those in hand; nil: they are not shared
	others     map[string]*ids
}

// New returns a Store in a folder of the given one. Nothing is read or written yet.
func New(folder, dispatcher string) (*Store, error) {
	var token [8]byte
	if _, err := rand.Read(token[:]); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	name := strings.ReplaceAll(url.PathEscape(dispatcher), ".", "%2e") // never . or ..
	return &Store{dir: filepath.Join(folder, "yardwharf-"+name), dispatcher: dispatcher, token: hex.EncodeToString(token[:]), state: NewState(), others: map[string]*ids{}}, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// State is what was last read or written. It must not be changed.
func (s *Store) State() *State { return &s.state }

// Token is this process's name among the runs.
func (s *Store) Token() string { return s.token }

// Enter books this process as one that runs, under a lock that it holds for as
// long as it lives.
func (s *Store) Enter(p Phase) error {
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if s.own == nil {
		f, err := os.OpenFile(s.path("run-"+s.token), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
			f.Close()
			return fmt.Errorf("handover: lock %s: %w", f.Name(), err)
		}
		s.own = f
	}
	if s.ids == nil {
		var err error
		if s.ids, err = mapIDs(s.path("ids-"+s.token), true); err != nil {
			return err
		}
	}
	return s.Change(func(st *State) { st.Runs[s.token] = p })
}

// Entered says whether this process is booked as one that runs.
func (s *Store) Entered() bool {
	_, booked := s.state.Runs[s.token]
	return s.own != nil && booked
}

// Leave takes this process out of those that run.
func (s *Store) Leave() error {
	if s.own == nil {
		return nil
	}
	err := s.Change(func(st *State) { delete(st.Runs, s.token) })
	if s.ids != nil {
		s.ids.close()
		s.ids = nil
	}
	s.meet(nil)
	os.Remove(s.path("ids-" + s.token))
	os.Remove(s.own.Name())
	s.own.Close()
	s.own = nil
	return err
}

// Change reads the state, changes it and writes it whole, under a lock: what the
// other process has written counts. Once it returns without an error a process
// that starts anew finds the change; after one nothing has changed.
func (s *Store) Change(change func(*State)) error {
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	lock, err := s.lock()
	if err != nil {
		return err
	}
	defer lock.Close() // which lets go of the lock
	// A fault in what is there has been told by Look; what is left of it counts.
	if _, err := s.Look(); err != nil && !errors.As(err, new(fault)) {
		return err
	}
	next := s.state.Clone()
	change(&next)
	for token := range next.Runs {
		if !s.runs(token) {
			delete(next.Runs, token)
			os.Remove(s.path("run-" + token))
			os.Remove(s.path("ids-" + token))
		}
	}
	text, err := next.text(s.dispatcher)
	if err != nil {
		return err
	}
	if !bytes.Equal(text, s.text) {
		if err := s.replace(text); err != nil {
			return err
		}
	}
	s.state, s.text = next, text
	return nil
}

// replace writes the state beside its place and then moves it there. A process
// killed meanwhile leaves the old one; its half is overwritten by the next.
func (s *Store) replace(text []byte) error {
	beside := s.path("state.new")
	if err := os.WriteFile(beside, text, 0o600); err != nil {
		os.Remove(beside) // on a full disk its part is of use to nobody
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(beside, s.path("state")); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// lock waits for the other process to have written. The wait is short: it is the
// loop's.
func (s *Store) lock() (*os.File, error) {
	f, err := os.OpenFile(s.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for range lockTries {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return f, nil
		}
		time.Sleep(lockPause)
	}
	f.Close()
	return nil, fmt.Errorf("handover: lock: %w", err)
}

// fault is what is wrong with a state of which the rest counts.
type fault struct{ error }

// Look reads the state anew and says whether it has changed. A fault in it is told
// once.
func (s *Store) Look() (changed bool, err error) {
	f, err := os.Open(s.path("state"))
	if errors.Is(err, os.ErrNotExist) {
		s.text = nil // so that the next change is written, also one that changes nothing
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	if !info.Mode().IsRegular() || info.Size() > textMost {
		return false, fmt.Errorf("handover: %s is no file that can be read", f.Name())
	}
	text := make([]byte, info.Size())
	if _, err := f.ReadAt(text, 0); err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	if bytes.Equal(text, s.text) {
		return false, nil
	}
	state, err := read(text, s.dispatcher)
	s.state, s.text = state, text
	if err == nil {
		s.faulty = ""
	} else if why := err.Error(); why != s.faulty {
		s.faulty = why
		return true, fault{err}
	}
	return true, nil
}

// Peers are the other processes that run now, and what they are at. From then on
// what they have in hand is seen by Claim.
func (s *Store) Peers() map[string]Phase {
	var peers map[string]Phase
	for token, phase := range s.state.Runs {
		if token != s.token && s.runs(token) {
			if peers == nil {
				peers = map[string]Phase{}
			}
			peers[token] = phase
		}
	}
	s.meet(peers)
	return peers
}

// runs says whether a process lives: it holds its lock then. Where that cannot be
// looked at, as for want of descriptors, it is taken to live: guards a process that
// serves against being struck off, with its files, by one at its limit.
func (s *Store) runs(token string) bool {
	if token == s.token {
		return s.own != nil
	}
	f, err := os.Open(s.path("run-" + token))
	if err != nil {
		return !errors.Is(err, os.ErrNotExist)
	}
	defer f.Close()
	return unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == unix.EWOULDBLOCK
}
