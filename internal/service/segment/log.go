package segment

import (
	"slices"
	"sync"

	"github.com/go-logr/logr"
)

const (
	// reservedFiles are not available to ordinary records: the last one is for
	// records copied by the cleaner, the others are for vital records too.
	reservedFiles   = 3
	minFiles        = reservedFiles + 2
	maxLiveFraction = 0.85    // of the unreserved files that live records may use
	maxPendingBytes = 8 << 20 // bytes waiting to be written above which ordinary records are refused
	maxSpareBuffer  = 1 << 20 // bytes; larger buffers are not reused
)

// Errors of Append.
var (
	ErrFull   = Class.New("no room")
	ErrClosed = Class.New("closed")
	ErrTooBig = Class.New("record is larger than a file")
)

// Priority determines how much of the reserved space a record may use.
type Priority uint8

// The priorities.
const (
	Ordinary Priority = iota // refused when the ring is short of space
	Vital                    // accepted although the ring is full for ordinary records
	Moved                    // replaces a record during Reclaim
	First                    // the first record of a log, queued even while the disk is full
)

// Owner decides which records are live. Its methods are called without any lock
// of the log held.
type Owner interface {
	// Replay is called during Start for each record, in log order. The payload
	// is valid only during the call. The record is live until it is dropped.
	Replay(kind byte, payload []byte, position Position) error
	// Reclaim asks the owner to move a record: if it is live, the owner appends
	// a replacement and drops it.
	Reclaim(kind byte, payload []byte, position Position) error
}

// Options are the parameters of a log.
type Options struct {
	Files       Files
	StoreID     string // for new folders; otherwise the ID in the files is used
	SegmentSize int
	MaxSegments int
	Log         logr.Logger
}

// segmentFile is one file of the ring. A free file has generation 0.
type segmentFile struct {
	name        string
	file        File
	generation  uint64
	endOffset   uint32 // where its records end
	liveRecords int
	liveBytes   int64
}

// run is a contiguous range of pending bytes in one file.
type run struct {
	segment *segmentFile
	offset  uint32
	bytes   []byte
}

// Commit is a group of records that become durable together.
type Commit struct {
	done chan struct{}
	err  error
}

func newCommit() *Commit { return &Commit{done: make(chan struct{})} }

// complete sets the result of the group and releases its waiters.
func (c *Commit) complete(err error) {
	c.err = err
	close(c.done)
}

// completedCommit returns a commit that has completed with a result.
func completedCommit(err error) *Commit {
	commit := newCommit()
	commit.complete(err)
	return commit
}

// Wait blocks until the group has been synced or has failed.
func (c *Commit) Wait() error {
	<-c.done
	return c.err
}

// Done is closed when the group has been synced or has failed.
func (c *Commit) Done() <-chan struct{} { return c.done }

// Log is a ring of segment files.
type Log struct {
	files       Files
	logger      logr.Logger
	storeID     string
	formatted   bool
	segmentSize uint32
	maxSegments int
	owner       Owner

	mutex         sync.Mutex
	ring          []*segmentFile // in use, in order of generation
	free          []*segmentFile
	fileCount     int // ring and free files, and one being created
	nextNumber    int
	generation    uint64
	liveBytes     int64
	pending       []run
	pendingBytes  int     // bytes in pending
	pendingCommit *Commit // of the pending runs
	writingCommit *Commit // of the group that is being written
	writing       []run   // runs of that group
	spareBuffers  [][]byte
	failure       error
	closed        bool
	wakeWriter    chan struct{}
	wakeCleaner   chan struct{}
	closing       chan struct{}
	stopped       chan struct{}

	space               diskSpace
	spaceCheckScheduled bool // a timer will wake the cleaner to check the disk space
	reserve             reserve
	reserveMutex        sync.Mutex // held while the reserve file is changed
	workers             sync.WaitGroup
}

// StoreID returns the store ID recorded in the files.
func (l *Log) StoreID() string { return l.storeID }

// Formatted reports whether Open found an empty folder.
func (l *Log) Formatted() bool { return l.formatted }

// Failed returns the error that stopped the log, or nil.
func (l *Log) Failed() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure
}

// Stopped is closed when the log has failed or was closed.
func (l *Log) Stopped() <-chan struct{} { return l.stopped }

// Append adds a record to the pending group, or returns ErrFull. Any number of
// callers may wait for the commit.
func (l *Log) Append(kind byte, payload []byte, priority Priority) (Position, *Commit, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size := uint32(recordHeaderSize + len(payload))
	switch {
	case l.failure != nil:
		return Position{}, nil, l.failure
	case l.closed:
		return Position{}, nil, ErrClosed
	case headerSize+size+recordHeaderSize > l.segmentSize:
		return Position{}, nil, ErrTooBig
	case l.space == spaceExhausted && priority != First, priority == Ordinary && (l.space != spaceAvailable || !l.hasRoom(int64(size))):
		return Position{}, nil, ErrFull
	}
	target := l.selectFile(size, priority)
	if target == nil {
		return Position{}, nil, ErrFull
	}
	position := Position{Generation: target.generation, Offset: target.endOffset, Size: uint32(len(payload))}
	l.enqueueRecord(target, kind, payload)
	target.liveRecords++
	target.liveBytes += int64(size)
	l.liveBytes += int64(size)
	return position, l.pendingCommit, nil
}

// selectFile returns the file to append a record to, or nil if the ring is full.
// Only moved records may use the last file that the ring can have.
func (l *Log) selectFile(size uint32, priority Priority) *segmentFile {
	if l.shortOfFiles() {
		l.freeEmptyFiles()
	}
	last, maxFiles := l.ring[len(l.ring)-1], l.maxSegments
	if priority != Moved {
		maxFiles--
	}
	fits := last.endOffset+size+recordHeaderSize <= l.segmentSize
	switch {
	case fits && len(l.ring) <= maxFiles:
		return last
	case !fits && len(l.ring) < maxFiles:
		return l.roll()
	default:
		return nil
	}
}

// Barrier returns a commit that completes when every record appended so far is
// durable. If some are not and the disk space is exhausted, it has completed with ErrFull.
func (l *Log) Barrier() *Commit {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	waits := len(l.pending) > 0 || l.writingCommit != nil
	switch {
	case waits && l.space == spaceExhausted:
		return completedCommit(ErrFull)
	case len(l.pending) > 0:
		return l.pendingCommit
	case waits:
		return l.writingCommit
	default:
		return completedCommit(l.failure)
	}
}

// Drop marks a record as no longer live.
func (l *Log) Drop(position Position) {
	if position.Generation == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.findFile(position.Generation)
	if s == nil {
		return
	}
	size := int64(recordHeaderSize + position.Size)
	s.liveRecords--
	s.liveBytes -= size
	l.liveBytes -= size
	if s.liveRecords == 0 && s == l.ring[0] || l.shortOfFiles() {
		signal(l.wakeCleaner)
	}
}

// hasRoom reports whether an ordinary record of this size fits within the
// limits on live records, pending bytes and files. The mutex is held.
func (l *Log) hasRoom(size int64) bool {
	capacity := int64(float64(l.maxSegments-reservedFiles-1) * float64(l.segmentSize) * maxLiveFraction)
	if l.liveBytes+size > capacity || l.pendingBytes > maxPendingBytes {
		return false
	}
	if l.shortOfFiles() {
		l.freeEmptyFiles()
	}
	if l.maxSegments-len(l.ring) > reservedFiles {
		return true
	}
	last := l.ring[len(l.ring)-1]
	return l.maxSegments-len(l.ring) == reservedFiles && int64(last.endOffset)+size+recordHeaderSize <= int64(l.segmentSize)
}

// shortOfFiles reports whether only the reserved files are left.
func (l *Log) shortOfFiles() bool { return l.maxSegments-len(l.ring) <= reservedFiles }

// roll starts the next file, reusing a free one if there is any.
func (l *Log) roll() *segmentFile {
	var next *segmentFile
	if len(l.free) > 0 {
		next = l.free[0]
		l.free = l.free[1:]
	} else {
		next = &segmentFile{name: fileName(l.nextNumber)}
		l.nextNumber++
		l.fileCount++
	}
	if n := len(l.ring); n > 0 && l.ring[n-1].endOffset+recordHeaderSize <= l.segmentSize {
		l.enqueueRecord(l.ring[n-1], kindEnd, nil)
	}
	l.generation++
	*next = segmentFile{name: next.name, file: next.file, generation: l.generation}
	l.ring = append(l.ring, next)
	l.enqueueBytes(next, fileHeader{l.segmentSize, next.generation, l.storeID}.encode())
	signal(l.wakeCleaner)
	return next
}

func (l *Log) enqueueRecord(target *segmentFile, kind byte, payload []byte) {
	r := l.openRun(target)
	before := len(r.bytes)
	r.bytes = appendRecord(r.bytes, target.generation, kind, payload)
	l.noteEnqueued(target, len(r.bytes)-before)
}

func (l *Log) enqueueBytes(target *segmentFile, bytes []byte) {
	r := l.openRun(target)
	r.bytes = append(r.bytes, bytes...)
	l.noteEnqueued(target, len(bytes))
}

// noteEnqueued accounts for bytes enqueued for a file, and starts a group if none is
// pending.
func (l *Log) noteEnqueued(target *segmentFile, size int) {
	target.endOffset += uint32(size)
	l.pendingBytes += size
	if l.pendingCommit == nil {
		l.pendingCommit = newCommit()
		signal(l.wakeWriter)
	}
}

// openRun returns the pending run at the end of a file; it starts one if the
// last pending run belongs to another file.
func (l *Log) openRun(target *segmentFile) *run {
	if n := len(l.pending); n > 0 && l.pending[n-1].segment == target {
		return &l.pending[n-1]
	}
	r := run{segment: target, offset: target.endOffset}
	if n := len(l.spareBuffers); n > 0 {
		r.bytes, l.spareBuffers = l.spareBuffers[n-1][:0], l.spareBuffers[:n-1]
	}
	l.pending = append(l.pending, r)
	return &l.pending[len(l.pending)-1]
}

func (l *Log) findFile(generation uint64) *segmentFile {
	i, found := slices.BinarySearchFunc(l.ring, generation, func(s *segmentFile, wanted uint64) int {
		switch {
		case s.generation < wanted:
			return -1
		case s.generation > wanted:
			return 1
		default:
			return 0
		}
	})
	if !found {
		return nil
	}
	return l.ring[i]
}

// WaitDurable waits until records are durable. If one is not and the disk space is exhausted,
// it returns ErrFull.
func (l *Log) WaitDurable(positions ...Position) error {
	for _, position := range positions {
		commit, err := l.PendingCommit(position)
		if err == nil && commit != nil {
			err = commit.Wait()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// PendingCommit returns the commit of a record that is not durable yet, or nil if it is durable.
// It returns ErrFull if the record is not durable and the disk space is exhausted.
func (l *Log) PendingCommit(position Position) (*Commit, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	commit := l.commitOf(position)
	if commit != nil && l.space == spaceExhausted {
		return nil, ErrFull
	}
	return commit, nil
}

// commitOf returns the commit of a record that is not durable yet, or nil. The mutex is
// held.
func (l *Log) commitOf(position Position) *Commit {
	holds := func(group []run) bool {
		return slices.ContainsFunc(group, func(r run) bool {
			return r.segment.generation == position.Generation && r.offset <= position.Offset &&
				position.Offset < r.offset+uint32(len(r.bytes))
		})
	}
	switch {
	case position.Generation == 0:
		return nil
	case holds(l.writing):
		return l.writingCommit
	case holds(l.pending):
		return l.pendingCommit
	default:
		return nil
	}
}

// Read waits until a record is durable, verifies its checksum and returns its payload.
func (l *Log) Read(position Position) ([]byte, error) {
	if err := l.WaitDurable(position); err != nil {
		return nil, err
	}
	l.mutex.Lock()
	s := l.findFile(position.Generation)
	var file File
	if s != nil {
		file = s.file
	}
	l.mutex.Unlock()
	if file == nil {
		return nil, Class.New("record of generation %d is gone", position.Generation)
	}
	record := make([]byte, recordHeaderSize+int(position.Size))
	if _, err := file.ReadAt(record, int64(position.Offset)); err != nil {
		return nil, Class.Wrap(err)
	}
	_, payload, err := parseRecord(record, position.Generation)
	return payload, err
}

// End returns the position after the last record.
func (l *Log) End() Position {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last := l.ring[len(l.ring)-1]
	return Position{Generation: last.generation, Offset: last.endOffset}
}

// Usage returns the bytes of the live records and of all segment files.
func (l *Log) Usage() (live, total int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.liveBytes, int64(l.fileCount) * int64(l.segmentSize)
}

// Segments returns the number of files in use and its limit.
func (l *Log) Segments() (used, maxSegments int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.ring), l.maxSegments
}

// Grow raises the size limit of the ring to a number of bytes. It never lowers it.
func (l *Log) Grow(capacity int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.maxSegments = max(l.maxSegments, capacity/int(l.segmentSize))
}

// Close commits the pending records and closes the files.
func (l *Log) Close() error {
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		return l.Failed()
	}
	l.closed = true
	close(l.closing)
	l.mutex.Unlock()
	signal(l.wakeWriter)
	signal(l.wakeCleaner)
	l.workers.Wait()
	for _, s := range append(slices.Clone(l.ring), l.free...) {
		if s.file != nil {
			_ = s.file.Close()
		}
	}
	if l.reserve.file != nil {
		_ = l.reserve.file.Close()
	}
	return l.Failed()
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
