// Package segmenttest provides a simulated disk for tests of package segment
// and of the packages that use it.
package segmenttest

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"yardwharf/internal/service/segment"
)

// ErrCrashed is returned by the operation that crashes and by all later ones,
// until Restart.
var ErrCrashed = errors.New("simulated loss of power")

const sectorSize = 512

// Disk is a folder in memory. A simulated power loss drops, tears and reorders
// the changes that were not synced.
type Disk struct {
	mutex        sync.Mutex
	names        map[string]*inode
	durableNames map[string]*inode
	operations   int
	crashAt      int // operation at which power is lost; 0 for never
	crashed      bool
	epoch        int // incremented by each restart; handles of earlier epochs fail

	failAt   int   // operation that fails; 0 for none
	failWith error // error of that operation

	limited bool // limit applies
	limit   int  // bytes of capacity; usage counts in whole sectors
}

// inode is the content of a file.
type inode struct {
	current []byte
	durable []byte
	pending []change
	sectors map[int]bool // allocated sectors
}

// change is an unsynced operation: a write, or a new length.
type change struct {
	offset int
	data   []byte // nil: the length is set to offset
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{names: map[string]*inode{}, durableNames: map[string]*inode{}}
}

// CrashAt simulates a power loss at the given operation, counted from now.
func (d *Disk) CrashAt(operation int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.operations, d.crashAt = 0, operation
}

// FailAt makes the given operation, counted from now, fail once with an error. A failing
// write leaves the first half of its bytes on the disk.
func (d *Disk) FailAt(operation int, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.operations, d.failAt, d.failWith = 0, operation, err
}

// LimitSpace limits the disk to its used sectors and room more bytes. Allocated sectors can still
// be overwritten, but Truncate can't make a file longer.
func (d *Disk) LimitSpace(room int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.limited, d.limit = true, d.used()+room
}

// RemoveLimit removes the limit set by Fill.
func (d *Disk) RemoveLimit() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.limited = false
}

// used returns the bytes of the allocated sectors.
func (d *Disk) used() int {
	used := 0
	for _, node := range d.names {
		used += len(node.sectors) * sectorSize
	}
	return used
}

// Operations returns the number of operations since the last CrashAt or FailAt.
func (d *Disk) Operations() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operations
}

// Crashed reports whether the disk has crashed or was killed since the last
// Restart.
func (d *Disk) Crashed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.crashed
}

// Kill simulates the end of the process without a power loss: all written data
// stays.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crashed = true
}

// Restart makes the disk available again after a kill or a power loss. After a
// power loss, either all unsynced changes are lost, or each is independently
// kept, lost or torn.
func (d *Disk) Restart(random *rand.Rand, powerLost bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crashed, d.crashAt, d.failAt = false, 0, 0
	d.epoch++
	if !powerLost {
		return
	}
	loseAll := random.IntN(4) == 0
	d.loseNames(random, loseAll)
	for _, node := range d.names {
		node.losePower(random, loseAll)
	}
}

// loseNames keeps or undoes each creation or removal of a name that was not
// synced.
func (d *Disk) loseNames(random *rand.Rand, loseAll bool) {
	kept := map[string]*inode{}
	for _, name := range sortedNames(d.names) {
		if d.durableNames[name] == d.names[name] || !loseAll && random.IntN(2) == 0 {
			kept[name] = d.names[name]
		}
	}
	for name, node := range d.durableNames {
		if d.names[name] == nil && (loseAll || random.IntN(2) == 0) {
			kept[name] = node
		}
	}
	d.names = kept
	d.durableNames = map[string]*inode{}
	for name, node := range kept {
		d.durableNames[name] = node
	}
}

func sortedNames(names map[string]*inode) []string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// losePower determines the content of a file after a power loss.
func (n *inode) losePower(random *rand.Rand, loseAll bool) {
	content := slices.Clone(n.durable)
	random.Shuffle(len(n.pending), func(i, j int) {
		if n.pending[i].data != nil && n.pending[j].data != nil {
			n.pending[i], n.pending[j] = n.pending[j], n.pending[i]
		}
	})
	for _, c := range n.pending {
		if loseAll {
			break
		}
		switch random.IntN(3) {
		case 0: // lost
		case 1:
			content = c.apply(content)
		default:
			content = c.tear(random, content)
		}
	}
	n.current, n.durable, n.pending = content, slices.Clone(content), nil
}

func (c change) apply(content []byte) []byte {
	if c.data == nil {
		return resize(content, c.offset)
	}
	content = resize(content, max(len(content), c.offset+len(c.data)))
	copy(content[c.offset:], c.data)
	return content
}

// tear applies only a prefix or some sectors of a write.
func (c change) tear(random *rand.Rand, content []byte) []byte {
	if c.data == nil {
		return content
	}
	if random.IntN(2) == 0 {
		return change{c.offset, c.data[:random.IntN(len(c.data)+1)]}.apply(content)
	}
	for start := 0; start < len(c.data); start += sectorSize {
		if random.IntN(2) == 0 {
			part := c.data[start:min(start+sectorSize, len(c.data))]
			content = change{c.offset + start, part}.apply(content)
		}
	}
	return content
}

func resize(content []byte, size int) []byte {
	if size <= len(content) {
		return content[:size:size]
	}
	return append(content, make([]byte, size-len(content))...)
}

// beginOperation counts an operation that changes the disk. It reports whether the
// operation takes effect, and the error it returns.
func (d *Disk) beginOperation(epoch int) (effect bool, err error) {
	if d.crashed || epoch != d.epoch {
		return false, ErrCrashed
	}
	d.operations++
	switch d.operations {
	case d.crashAt:
		d.crashed = true
		return true, ErrCrashed
	case d.failAt:
		return false, d.failWith
	default:
		return true, nil
	}
}

// List returns the names in the folder.
func (d *Disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	return sortedNames(d.names), nil
}

// Open opens or creates a file.
func (d *Disk) Open(name string, create bool) (segment.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node := d.names[name]
	if node == nil {
		if !create {
			return nil, errors.New(name + ": no such file")
		}
		effect, err := d.beginOperation(d.epoch)
		if effect {
			node = &inode{}
			d.names[name] = node
		}
		if err != nil {
			return nil, err
		}
	}
	return &file{d, node, d.epoch}, nil
}

// Sync makes the file names durable.
func (d *Disk) Sync() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, err := d.beginOperation(d.epoch)
	if err != nil {
		return err
	}
	d.durableNames = map[string]*inode{}
	for name, node := range d.names {
		d.durableNames[name] = node
	}
	return nil
}

// Bytes returns the content of a file for direct modification, to corrupt it.
func (d *Disk) Bytes(name string) []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.names[name].current
}

// file is an open file of a simulated disk.
type file struct {
	disk  *Disk
	node  *inode
	epoch int
}

func (f *file) ReadAt(p []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.disk.crashed || f.epoch != f.disk.epoch {
		return 0, ErrCrashed
	}
	if offset >= int64(len(f.node.current)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.current[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(p []byte, offset int64) (int, error) {
	if err := f.modify(change{int(offset), append([]byte{}, p...)}); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (f *file) Truncate(size int64) error { return f.modify(change{offset: int(size)}) }

// modify applies an unsynced change, or only the first half of a write that
// fails.
func (f *file) modify(c change) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	effect, err := f.disk.beginOperation(f.epoch)
	if effect && !f.disk.hasSpaceFor(f.node, c) {
		effect, err = false, syscall.ENOSPC
	}
	if !effect && err != ErrCrashed && c.data != nil {
		c.data, effect = c.data[:len(c.data)/2], true
	}
	if effect {
		f.node.current = c.apply(f.node.current)
		f.node.pending = append(f.node.pending, c)
		f.node.updateSectors(c)
	}
	return err
}

// hasSpaceFor reports whether the disk has space for a change.
func (d *Disk) hasSpaceFor(node *inode, c change) bool {
	if !d.limited {
		return true
	}
	if c.data == nil {
		return c.offset <= len(node.current)
	}
	more := 0
	for sector := c.offset / sectorSize; sector*sectorSize < c.offset+len(c.data); sector++ {
		if !node.sectors[sector] {
			more += sectorSize
		}
	}
	return more == 0 || d.used()+more <= d.limit
}

// updateSectors updates the set of allocated sectors after a change.
func (n *inode) updateSectors(c change) {
	if n.sectors == nil {
		n.sectors = map[int]bool{}
	}
	if c.data == nil {
		maps.DeleteFunc(n.sectors, func(sector int, _ bool) bool { return sector*sectorSize >= c.offset })
		return
	}
	for sector := c.offset / sectorSize; sector*sectorSize < c.offset+len(c.data); sector++ {
		n.sectors[sector] = true
	}
}

func (f *file) Size() (int64, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return int64(len(f.node.current)), nil
}

func (f *file) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if _, err := f.disk.beginOperation(f.epoch); err != nil {
		return err
	}
	for _, c := range f.node.pending {
		f.node.durable = c.apply(f.node.durable)
	}
	f.node.pending = nil
	return nil
}

func (f *file) Close() error { return nil }
