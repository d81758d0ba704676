package handover

import (
	"fmt"
	"os"
	"sync/atomic"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	idSlots  = 8192 // of a table of ids, 64 KiB
	idProbes = 32   // slots that an id may be in, from its own on
	freed    = 1    // a slot that was used
)

// ids is a table of the ids of messages in hand, by hash, in memory that processes
// share. One process writes it; others read it at any time.
type ids struct {
	memory []byte
	slots  []atomic.Uint64
}

func mapIDs(path string, own bool) (*ids, error) {
	flags, access := os.O_RDONLY, unix.PROT_READ
	if own {
		flags, access = os.O_CREATE|os.O_RDWR, unix.PROT_READ|unix.PROT_WRITE
	}
	f, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer f.Close()
	if own {
		// Written, not just made longer: guards against a full disk that ends the
		// process at a store into memory.
		if _, err := f.WriteAt(make([]byte, 8*idSlots), 0); err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
	} else if info, err := f.Stat(); err != nil || info.Size() != 8*idSlots {
		return nil, fmt.Errorf("handover: %s is no table of ids (%v)", path, err)
	}
	memory, err := unix.Mmap(int(f.Fd()), 0, 8*idSlots, access, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("handover: map %s: %w", path, err)
	}
	return &ids{memory, unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&memory[0])), idSlots)}, nil
}

func (t *ids) close() { unix.Munmap(t.memory) }

func hash(id []byte) uint64 { return max(xxhash.Sum64(id), freed+1) }

// add books an id. Where all its slots are taken it is not shared.
func (t *ids) add(h uint64) {
	for i := range uint64(idProbes) {
		if s := &t.slots[(h+i)%idSlots]; s.Load() <= freed {
			s.Store(h)
			return
		}
	}
}

// find returns an id's slot; nil where it is in none.
func (t *ids) find(h uint64) *atomic.Uint64 {
	for i := range uint64(idProbes) {
		switch s := &t.slots[(h+i)%idSlots]; s.Load() {
		case h:
			return s
		case 0:
			return nil
		}
	}
	return nil
}

// Claim books a message's id as in hand here. It says no where another process has
// it in hand: a second copy would run beside the first. Each books first and looks
// then, so that of two at the same moment one sees the other at least.
func (s *Store) Claim(id []byte) bool {
	if s.ids == nil {
		return true
	}
	h := hash(id)
	s.ids.add(h)
	for _, other := range s.others {
		if other.find(h) != nil {
			s.Release(id)
			return false
		}
	}
	return true
}

// Release says that a message is no longer in hand.
func (s *Store) Release(id []byte) {
	if s.ids == nil {
		return
	}
	if slot := s.ids.find(hash(id)); slot != nil {
		slot.Store(freed)
	}
}

// meet opens the tables of the processes that run, and lets go of the others'. One
// that cannot be read is passed over: its process has only just begun.
func (s *Store) meet(peers map[string]Phase) {
	for token, t := range s.others {
		if _, runs := peers[token]; !runs {
			t.close()
			delete(s.others, token)
		}
	}
	for token := range peers {
		if s.others[token] == nil {
			if t, err := mapIDs(s.path("ids-"+token), false); err == nil {
				s.others[token] = t
			}
		}
	}
}
