package simulation

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/segment/segmenttest"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/simulation/simnet"
)

const (
	syncTime   = 800 * time.Microsecond
	steadyMost = 10 * time.Hour // that a steady clock may show after a loss of power
)

// runFunc runs a role.
type runFunc func(context.Context, *settings.Settings, logr.Logger) error

// process is one role on one machine; it may have several lives.
type process struct {
	world    *world
	settings settings.Settings
	run      runFunc
	machine  string
	disk     *disk // nil: none

	network *simnet.Process
	cancel  context.CancelFunc
	done    chan struct{}
	lives   int
	added   bool // after the start of the system

	diskSince time.Duration // when its disk was empty

	booted time.Duration // when its steady clock showed 0

	turn sync.Mutex // held by TryLock only: one fault at a time ends and starts it
}

// start begins a life of the process.
func (p *process) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.network, p.cancel, p.done = p.world.network.Process(p.machine), cancel, make(chan struct{})
	p.lives++
	s := p.settings
	s.Bootstrap = p.lives == 1 && !p.added
	s.Network = p.network
	booted := p.booted
	s.MonotonicClock = func() time.Duration { return p.world.journal.now() - booted }
	s.WallClock = func() time.Time { return time.Now().Add(p.world.daySet(p.machine)) }
	if p.disk != nil {
		life := p.disk.current()
		s.OpenFolder = func(string) segment.Files { return life }
	}
	done := p.done
	network := p.network
	go func() {
		defer close(done)
		_ = p.run(ctx, &s, p.world.log.WithName(s.Node+"/"+s.Role))
		network.Kill() // the system closes what a process leaves open
	}()
}

// kill ends the process at once. Its goroutines find their connections and
// their disk gone, and end by themselves.
func (p *process) kill(random *rand.Rand, powerLost bool) {
	if powerLost {
		p.booted = p.world.journal.now() - time.Duration(random.Int64N(int64(steadyMost)))
	}
	if p.disk != nil {
		p.disk.kill(random, powerLost)
	}
	p.network.Kill()
	p.cancel()
}

// stop asks the process to end and waits for it.
func (p *process) stop() {
	p.cancel()
	<-p.done
}

// disk is the simulated disk of one process, over all its lives.
type disk struct {
	mutex   sync.Mutex
	content *segmenttest.Disk
	slow    time.Duration // of a sync
	stalled chan struct{} // closed when a stall ends; nil: none
}

func newDisk(slow time.Duration) *disk { return &disk{content: segmenttest.NewDisk(), slow: slow} }

// current returns the folder for a new life.
func (d *disk) current() segment.Files {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &folder{disk: d, Disk: d.content}
}

func (d *disk) kill(random *rand.Rand, powerLost bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.Kill()
	d.content.Restart(random, powerLost)
}

// wipe empties the disk.
func (d *disk) wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.content.Kill()
	d.content = segmenttest.NewDisk()
}

// stall holds up all syncs until the returned function is called.
func (d *disk) stall() (release func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.stalled = nil
		close(stalled)
	}
}

// fill makes the disk full, but for so many bytes, until the returned function is called.
func (d *disk) fill(room int) (empty func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	content := d.content
	content.LimitSpace(room)
	return content.RemoveLimit
}

// await takes the time of a sync.
func (d *disk) await() {
	d.mutex.Lock()
	stalled := d.stalled
	d.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	if d.slow > 0 {
		time.Sleep(d.slow)
	}
}

// folder is a disk as one life of a process sees it.
type folder struct {
	*segmenttest.Disk
	disk *disk
}

// Open opens a file whose syncs take time.
func (f *folder) Open(name string, create bool) (segment.File, error) {
	file, err := f.Disk.Open(name, create)
	if err != nil {
		return nil, err
	}
	return &slowFile{file, f.disk}, nil
}

type slowFile struct {
	segment.File
	disk *disk
}

// Sync waits for the disk.
func (f *slowFile) Sync() error {
	f.disk.await()
	return f.File.Sync()
}
