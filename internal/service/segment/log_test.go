package segment_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/segment/segmenttest"
)

const (
	putKind     = 1
	testSegment = 4096
	testFiles   = 6
	testKeys    = 12
)

// table is an Owner: a map from keys to numbered values, of which the highest
// number wins.
type table struct {
	mutex  sync.Mutex
	log    *segment.Log
	values map[uint32]value
	order  []uint64 // numbers in order of replay
}

type value struct {
	number   uint64
	content  string
	position segment.Position
}

func encodePut(key uint32, number uint64, content string) []byte {
	b := binary.BigEndian.AppendUint32(nil, key)
	b = binary.BigEndian.AppendUint64(b, number)
	return append(b, content...)
}

func decodePut(payload []byte) (uint32, uint64, string) {
	return binary.BigEndian.Uint32(payload), binary.BigEndian.Uint64(payload[4:]), string(payload[12:])
}

func (t *table) Replay(kind byte, payload []byte, position segment.Position) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if kind != putKind {
		return fmt.Errorf("kind %d", kind)
	}
	key, number, content := decodePut(payload)
	t.order = append(t.order, number)
	if number < t.values[key].number {
		t.log.Drop(position)
		return nil
	}
	t.log.Drop(t.values[key].position)
	t.values[key] = value{number, content, position}
	return nil
}

func (t *table) Reclaim(kind byte, payload []byte, position segment.Position) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key, _, _ := decodePut(payload)
	known := t.values[key]
	if known.position != position {
		return nil
	}
	moved, _, err := t.log.Append(kind, payload, segment.Moved)
	if err != nil {
		return err
	}
	t.log.Drop(position)
	known.position = moved
	t.values[key] = known
	return nil
}

func (t *table) put(key uint32, number uint64, content string, priority segment.Priority) (*segment.Commit, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	position, commit, err := t.log.Append(putKind, encodePut(key, number, content), priority)
	if err != nil {
		return nil, err
	}
	t.log.Drop(t.values[key].position)
	t.values[key] = value{number, content, position}
	return commit, nil
}

// snapshot returns a copy of the values.
func (t *table) snapshot() map[uint32]value {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.values)
}

// read reads the record of a key, and retries if it is moved meanwhile.
func (t *table) read(key uint32) ([]byte, error) {
	for {
		position := t.snapshot()[key].position
		payload, err := t.log.Read(position)
		if err == nil || t.snapshot()[key].position == position {
			return payload, err
		}
	}
}

func open(files segment.Files, logger logr.Logger) (*table, error) {
	return openAs(files, logger, "store-1", testFiles)
}

func openAs(files segment.Files, logger logr.Logger, id string, maxSegments int) (*table, error) {
	t := &table{values: map[uint32]value{}}
	log, err := segment.New(segment.Options{
		Files: files, StoreID: id, SegmentSize: testSegment, MaxSegments: maxSegments, Log: logger,
	}, t)
	if err != nil {
		return nil, err
	}
	t.log = log
	return t, log.Start()
}

// contentOf returns the content that belongs to a key and a number.
func contentOf(key uint32, number uint64) string {
	random := rand.New(rand.NewPCG(uint64(key), number))
	return strings.Repeat(fmt.Sprint(key, "/", number, ";"), 1+random.IntN(90))
}

// script puts random values and records the highest acknowledged number of each
// key.
type script struct {
	random *rand.Rand
	number uint64
	acked  map[uint32]uint64
}

func (s *script) run(t *table, steps int) error {
	for range steps {
		var commits []*segment.Commit
		puts := map[uint32]uint64{}
		for range 1 + s.random.IntN(3) {
			key := uint32(s.random.IntN(testKeys))
			s.number++
			commit, err := t.put(key, s.number, contentOf(key, s.number), segment.Vital)
			if errors.Is(err, segment.ErrFull) {
				// The cleaner has not kept up; wait for the values put so far.
				if err := t.log.Barrier().Wait(); err != nil {
					return err
				}
				continue
			}
			if err != nil {
				return err
			}
			commits = append(commits, commit)
			puts[key] = s.number
		}
		for _, commit := range commits {
			if err := commit.Wait(); err != nil {
				return err
			}
		}
		for key, number := range puts {
			s.acked[key] = number
		}
	}
	return nil
}

// check verifies that a recovered table has every acknowledged value and only
// values that were put.
func (s *script) check(t *table) error {
	values := t.snapshot()
	for key, number := range s.acked {
		if values[key].number < number {
			return fmt.Errorf("key %d: number %d was acknowledged, found %d", key, number, values[key].number)
		}
	}
	for key, v := range values {
		if v.number > s.number || v.content != contentOf(key, v.number) {
			return fmt.Errorf("key %d: number %d of %d has wrong content", key, v.number, s.number)
		}
		payload, err := t.read(key)
		if err != nil {
			return fmt.Errorf("key %d: %w", key, err)
		}
		if _, number, content := decodePut(payload); number != v.number || content != v.content {
			return fmt.Errorf("key %d: the record read has wrong content", key)
		}
	}
	return nil
}

// Power is lost at each operation of a scripted run, and again during or soon
// after recovery. All acknowledged records must survive, and no record that was
// never put may appear.
func TestEveryCrashPoint(t *testing.T) {
	const steps = 120
	seeds := uint64(6)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		disk := segmenttest.NewDisk()
		whole, err := open(disk, logr.Discard())
		qt.Assert(t, err, qt.IsNil)
		s := &script{random: rand.New(rand.NewPCG(seed, 0)), acked: map[uint32]uint64{}}
		qt.Assert(t, s.run(whole, steps), qt.IsNil)
		qt.Assert(t, whole.log.Close(), qt.IsNil)
		operations := disk.Operations()
		for point := 1; point <= operations; point++ {
			if err := crashOnce(seed, point, steps); err != nil {
				t.Fatalf("seed %d, crash at operation %d of %d: %v", seed, point, operations, err)
			}
		}
	}
}

func crashOnce(seed uint64, point, steps int) error {
	disk := segmenttest.NewDisk()
	disk.CrashAt(point)
	random := rand.New(rand.NewPCG(seed, uint64(point)))
	s := &script{random: rand.New(rand.NewPCG(seed, 0)), acked: map[uint32]uint64{}}
	for round := range 4 {
		opened, err := open(disk, logr.Discard())
		if err == nil {
			if err := s.check(opened); err != nil && !disk.Crashed() {
				return fmt.Errorf("round %d: %w", round, err)
			}
			err = s.run(opened, steps/(round+1))
			_ = opened.log.Close()
		}
		if err != nil && !disk.Crashed() {
			return fmt.Errorf("round %d: %w", round, err)
		}
		powerLost := disk.Crashed()
		disk.Kill()
		disk.Restart(random, powerLost)
		if round < 2 {
			disk.CrashAt(1 + random.IntN(60))
		}
	}
	opened, err := open(disk, logr.Discard())
	if err != nil {
		return err
	}
	defer opened.log.Close()
	return s.check(opened)
}

// Records from earlier uses of a file are never read as new ones, restarts lose
// nothing, and the number of files stays within its limit.
func TestRingIsReused(t *testing.T) {
	c := qt.New(t)
	disk := segmenttest.NewDisk()
	s := &script{random: rand.New(rand.NewPCG(1, 1)), acked: map[uint32]uint64{}}
	for range 10 {
		opened, err := open(disk, logr.Discard())
		c.Assert(err, qt.IsNil)
		c.Assert(s.check(opened), qt.IsNil)
		c.Assert(s.run(opened, 200), qt.IsNil)
		_, total := opened.log.Usage()
		c.Assert(total <= testFiles*testSegment, qt.IsTrue)
		c.Assert(opened.log.Close(), qt.IsNil)
	}
	names, err := disk.List()
	c.Assert(err, qt.IsNil)
	c.Assert(len(names) <= testFiles+1, qt.IsTrue) // the files and the reserve
}

// Only the new records of a reused file are replayed, even if old records of
// the same size directly follow them.
func TestOldRecordsAreNotReplayed(t *testing.T) {
	c := qt.New(t)
	disk := segmenttest.NewDisk()
	content := strings.Repeat("x", 300)
	number := uint64(0)
	for range 60 {
		opened, err := open(disk, logr.Discard())
		c.Assert(err, qt.IsNil)
		for i := 1; i < len(opened.order); i++ {
			c.Assert(opened.order[i-1] < opened.order[i], qt.IsTrue, qt.Commentf("replayed: %v", opened.order))
		}
		for range 5 {
			number++
			commit, err := opened.put(1, number, content, segment.Vital)
			c.Assert(err, qt.IsNil)
			c.Assert(commit.Wait(), qt.IsNil)
		}
		c.Assert(opened.log.Close(), qt.IsNil)
	}
	c.Assert(number*(uint64(len(content))) > 3*testFiles*testSegment, qt.IsTrue, qt.Commentf("the ring was not reused"))
}

// Ordinary records are refused with ErrFull while vital records are still
// accepted, and dropping records makes space for ordinary ones.
func TestFullKeepsAReserve(t *testing.T) {
	c := qt.New(t)
	opened, err := openAs(segmenttest.NewDisk(), logr.Discard(), "store-1", 9)
	c.Assert(err, qt.IsNil)
	defer opened.log.Close()
	content := strings.Repeat("x", 400)
	count := uint32(0)
	for ; ; count++ {
		commit, err := opened.put(count, 1, content, segment.Ordinary)
		if errors.Is(err, segment.ErrFull) {
			break
		}
		c.Assert(err, qt.IsNil)
		c.Assert(commit.Wait(), qt.IsNil)
	}
	c.Assert(count >= 41, qt.IsTrue, qt.Commentf("%d records of 400 bytes in 9 files of 4096", count))
	for i := range uint32(30) {
		commit, err := opened.put(1000+i%3, uint64(i)+1, strings.Repeat("e", 60), segment.Vital)
		c.Assert(err, qt.IsNil)
		c.Assert(commit.Wait(), qt.IsNil)
	}
	for key := range count {
		opened.mutex.Lock()
		opened.log.Drop(opened.values[key].position)
		delete(opened.values, key)
		opened.mutex.Unlock()
	}
	for i := range uint32(200) {
		var commit *segment.Commit
		for {
			if commit, err = opened.put(5000+i%4, uint64(i)+1, content, segment.Ordinary); !errors.Is(err, segment.ErrFull) {
				break
			}
			c.Assert(opened.log.Barrier().Wait(), qt.IsNil)
		}
		c.Assert(err, qt.IsNil)
		c.Assert(commit.Wait(), qt.IsNil)
	}
}

// A corrupt last record is ignored at recovery, with a single log line.
func TestTornTailIsIgnoredWithOneLogLine(t *testing.T) {
	c := qt.New(t)
	disk := segmenttest.NewDisk()
	opened, err := open(disk, logr.Discard())
	c.Assert(err, qt.IsNil)
	var last segment.Position
	for i := range uint32(3) {
		commit, err := opened.put(i, 1, contentOf(i, 1), segment.Vital)
		c.Assert(err, qt.IsNil)
		c.Assert(commit.Wait(), qt.IsNil)
		last = opened.values[i].position
	}
	c.Assert(opened.log.Close(), qt.IsNil)
	disk.Bytes("000000.segment")[last.Offset+20] ^= 1

	var lines []string
	logger := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	again, err := open(disk, logger)
	c.Assert(err, qt.IsNil)
	defer again.log.Close()
	c.Assert(len(again.values), qt.Equals, 2)
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, fmt.Sprintf(`"file"="000000.segment" "offset"=%d "cause"="checksum differs"`, last.Offset))
}

// Records after a corrupt one never reappear, even if a new record ends exactly
// where the corrupt one did.
func TestRecordsAfterCorruptOneDoNotReappear(t *testing.T) {
	c := qt.New(t)
	disk := segmenttest.NewDisk()
	content := strings.Repeat("x", 100)
	put := func(opened *table, number uint64) segment.Position {
		commit, err := opened.put(uint32(number), number, content, segment.Vital)
		c.Assert(err, qt.IsNil)
		c.Assert(commit.Wait(), qt.IsNil)
		return opened.values[uint32(number)].position
	}
	opened, err := open(disk, logr.Discard())
	c.Assert(err, qt.IsNil)
	put(opened, 1)
	lost := put(opened, 2)
	put(opened, 3)
	c.Assert(opened.log.Close(), qt.IsNil)
	disk.Bytes("000000.segment")[lost.Offset+20] ^= 1

	opened, err = open(disk, logr.Discard())
	c.Assert(err, qt.IsNil)
	c.Assert(opened.order, qt.DeepEquals, []uint64{1})
	c.Assert(put(opened, 4), qt.Equals, lost)
	c.Assert(opened.log.Close(), qt.IsNil)

	opened, err = open(disk, logr.Discard())
	c.Assert(err, qt.IsNil)
	defer opened.log.Close()
	c.Assert(opened.order, qt.DeepEquals, []uint64{1, 4})
}

// The first record is queued although the disk is found to be full before it, and written once there is room.
func TestFirstRecordOnAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		disk := segmenttest.NewDisk()
		disk.LimitSpace(0)
		opened, err := open(disk, logr.Discard())
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		_, err = opened.put(1, 1, "vital", segment.Vital)
		c.Assert(err, qt.ErrorIs, segment.ErrFull)
		_, err = opened.put(2, 2, "first", segment.First)
		c.Assert(err, qt.IsNil)
		c.Assert(opened.log.Barrier().Wait(), qt.ErrorIs, segment.ErrFull)
		disk.RemoveLimit()
		time.Sleep(time.Second)
		c.Assert(opened.log.Barrier().Wait(), qt.IsNil)
		c.Assert(opened.log.Close(), qt.IsNil)
		opened, err = open(disk, logr.Discard())
		c.Assert(err, qt.IsNil)
		c.Assert(opened.order, qt.DeepEquals, []uint64{2})
		c.Assert(opened.log.Close(), qt.IsNil)
	})
}

// Files of another store, of a later format or without the magic are refused
// and left unchanged.
func TestForeignFilesAreRefused(t *testing.T) {
	c := qt.New(t)
	write := func(disk *segmenttest.Disk, id string) {
		opened, err := openAs(disk, logr.Discard(), id, testFiles)
		c.Assert(err, qt.IsNil)
		commit, err := opened.put(1, 1, "content", segment.Vital)
		c.Assert(err, qt.IsNil)
		c.Assert(commit.Wait(), qt.IsNil)
		c.Assert(opened.log.Close(), qt.IsNil)
	}
	disk, other := segmenttest.NewDisk(), segmenttest.NewDisk()
	write(disk, "store-1")
	write(other, "store-2")
	foreign := string(other.Bytes("000000.segment"))
	copied, err := disk.Open("000007.segment", true)
	c.Assert(err, qt.IsNil)
	_, err = copied.WriteAt([]byte(foreign), 0)
	c.Assert(err, qt.IsNil)
	_, err = open(disk, logr.Discard())
	c.Assert(err, qt.ErrorMatches, `segment: 000007.segment: refused: it belongs to store "store-2", not "store-1"`)
	c.Assert(string(disk.Bytes("000007.segment")), qt.Equals, foreign)

	for name, offset := range map[string]int{"later format": 8, "not a segment file": 0} {
		damaged := segmenttest.NewDisk()
		write(damaged, "store-1")
		damaged.Bytes("000000.segment")[offset] = 9
		before := string(damaged.Bytes("000000.segment"))
		_, err = open(damaged, logr.Discard())
		c.Assert(err, qt.ErrorMatches, "segment: 000000.segment: refused: .*", qt.Commentf(name))
		c.Assert(string(damaged.Bytes("000000.segment")), qt.Equals, before)
	}
}

// A record that does not fit in a file is refused.
func TestRecordLargerThanAFile(t *testing.T) {
	c := qt.New(t)
	opened, err := open(segmenttest.NewDisk(), logr.Discard())
	c.Assert(err, qt.IsNil)
	defer opened.log.Close()
	_, err = opened.put(1, 1, strings.Repeat("x", testSegment), segment.Vital)
	c.Assert(err, qt.ErrorIs, segment.ErrTooBig)
}

// Records replayed by a start after a kill are considered durable, so they must
// survive a later power loss, even if they fill the last file.
func TestReplayedRecordsSurvivePowerLoss(t *testing.T) {
	for point := 4; point < 24; point++ {
		for seed := range uint64(8) {
			if err := killThenLosePower(point, seed); err != nil {
				t.Errorf("kill at operation %d, seed %d: %v", point, seed, err)
			}
		}
	}
}

// killThenLosePower kills a log while it writes a group that spans two files,
// restarts it, and then simulates a power loss.
func killThenLosePower(point int, seed uint64) error {
	disk := segmenttest.NewDisk()
	first, err := open(disk, logr.Discard())
	if err != nil {
		return err
	}
	disk.CrashAt(point)
	for number := range uint64(testSegment / 400) {
		if _, err := first.put(uint32(number%testKeys), number+1, strings.Repeat("x", 600), segment.Vital); err != nil {
			break
		}
	}
	_ = first.log.Barrier().Wait()
	disk.Kill()
	_ = first.log.Close()
	disk.Restart(rand.New(rand.NewPCG(seed, 5)), false)
	second, err := open(disk, logr.Discard())
	if err != nil {
		return err
	}
	if err := second.log.Barrier().Wait(); err != nil {
		return err
	}
	known := second.snapshot()
	disk.Kill()
	_ = second.log.Close()
	disk.Restart(rand.New(rand.NewPCG(seed, 6)), true)
	third, err := open(disk, logr.Discard())
	if err != nil {
		return err
	}
	defer third.log.Close()
	for key, value := range known {
		if found := third.snapshot()[key]; found.number < value.number {
			return fmt.Errorf("key %d: number %d is lost, found %d", key, value.number, found.number)
		}
	}
	return nil
}
