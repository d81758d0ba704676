package controller

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"yardwharf/internal/decide/rollout"
)

const (
	lockFor = 300 * time.Millisecond
	layout  = "1"
)

var (
	about     = []byte("about")
	decisions = []byte("decisions")
	keyLayout = []byte("layout")
	keyChange = []byte("change")
	keyPlan   = []byte("plan")
)

// Record is the durable list of decisions of one change, in a bbolt file that one process has
// open at a time.
type Record struct {
	Change string // the plan's name and a token, so that a plan that is begun anew is another change
	Plan   []byte
	List   []rollout.Record
	db     *bbolt.DB
}

// Open opens the record of a plan; it makes one where there is none. A record of another plan,
// or one that is damaged, is refused.
func Open(path, name string, plan []byte) (*Record, error) {
	r, err := open(path, false)
	if err != nil {
		return nil, err
	}
	if r.Change == "" {
		var token [4]byte
		if _, err := rand.Read(token[:]); err != nil {
			return nil, errors.Join(fmt.Errorf("%s: %w", path, err), r.Close())
		}
		r.Change, r.Plan = name+"@"+hex.EncodeToString(token[:]), plan
		err = r.db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(about)
			if err != nil {
				return err
			}
			_, err = tx.CreateBucketIfNotExists(decisions)
			return errors.Join(err, b.Put(keyLayout, []byte(layout)), b.Put(keyChange, []byte(r.Change)), b.Put(keyPlan, plan))
		})
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%s: %w", path, err), r.Close())
		}
	}
	if !bytes.Equal(r.Plan, plan) {
		return nil, errors.Join(fmt.Errorf("%s: plan: is the record of another plan or of another text of it (change %s), expected the same to go on, or another --record", path, r.Change), r.Close())
	}
	return r, nil
}

// Read opens a record that is there, to look at.
func Read(path string) (*Record, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	r, err := open(path, true)
	if err == nil && r.Change == "" {
		err = errors.Join(fmt.Errorf("%s: holds no change", path), r.Close())
	}
	return r, err
}

// open reads all that a file holds. Guards against a damaged file: bbolt may panic on one.
func open(path string, only bool) (r *Record, err error) {
	r = &Record{}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: is damaged (%v); %s", path, p, r.last())
		}
	}()
	if r.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockFor, ReadOnly: only}); err != nil {
		if errors.Is(err, bbolt.ErrTimeout) {
			err = ErrTaken
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = r.db.View(r.load)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: is damaged: %w; %s", path, err, r.last()), r.Close())
	}
	return r, nil
}

// last names the last good step.
func (r *Record) last() string {
	if len(r.List) == 0 {
		return "no decision in it can be read"
	}
	l := r.List[len(r.List)-1]
	return fmt.Sprintf("the last good decision is %d, %s %s", l.Seq, l.Kind, l.Dispatcher)
}

func (r *Record) load(tx *bbolt.Tx) error {
	a, d := tx.Bucket(about), tx.Bucket(decisions)
	if a == nil && d == nil {
		return nil
	}
	if a == nil || d == nil || string(a.Get(keyLayout)) != layout {
		return errors.New("it is of no layout that is known here")
	}
	r.Change, r.Plan = string(a.Get(keyChange)), bytes.Clone(a.Get(keyPlan))
	return d.ForEach(func(key, value []byte) error {
		var l rollout.Record
		if len(key) != 8 || len(value) < 4 || binary.BigEndian.Uint32(value) != crc32.ChecksumIEEE(value[4:]) || json.Unmarshal(value[4:], &l) != nil ||
			uint64(l.Seq) != binary.BigEndian.Uint64(key) || l.Seq != len(r.List)+1 {
			return fmt.Errorf("decision %d cannot be read", len(r.List)+1)
		}
		r.List = append(r.List, l)
		return nil
	})
}

// Write adds a decision; once it returns it is on the disk.
func (r *Record) Write(l rollout.Record) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	value := append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(text)), text...)
	err = r.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(decisions).Put(binary.BigEndian.AppendUint64(nil, uint64(l.Seq)), value)
	})
	if err == nil {
		r.List = append(r.List, l)
	}
	return err
}

// Close lets go of the file.
func (r *Record) Close() error { return r.db.Close() }
