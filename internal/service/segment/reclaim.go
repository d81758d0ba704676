package segment

import "errors"

const (
	reclaimBatchBytes = 64 << 10 // bytes offered to the owner between two waits for the disk
	sparseDivisor     = 8        // a file with less than 1/8 live bytes is reclaimed before another is created
	spareFiles        = 1        // free files to keep ready
	minFilesToReclaim = 2        // files in use below which nothing is reclaimed
)

// cleanLoop frees or reclaims the oldest files, creates spare files and restores the
// reserve, whenever it is woken.
func (l *Log) cleanLoop() {
	defer l.workers.Done()
	for range l.wakeCleaner {
		for {
			if l.isStopped() {
				return
			}
			if !l.cleanOnce() {
				break
			}
		}
	}
}

func (l *Log) isStopped() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.closed || l.failure != nil
}

// cleanOnce does one unit of work and reports whether there may be more.
func (l *Log) cleanOnce() bool {
	l.mutex.Lock()
	freed := l.freeEmptyFiles()
	var victim *segmentFile
	var file File
	var generation uint64
	if l.mustReclaim() {
		victim = l.ring[0]
		file, generation = victim.file, victim.generation
	}
	needsSpareFile := victim == nil && len(l.free) < spareFiles && l.fileCount < l.maxSegments
	needsReserve := !l.spaceCheckScheduled && (l.space != spaceAvailable || !l.reserve.filled)
	l.mutex.Unlock()
	switch {
	case needsReserve:
		return l.restoreReserve()
	case victim != nil:
		return l.reclaim(victim, file, generation)
	case needsSpareFile:
		return l.createSpareFile()
	default:
		return freed
	}
}

// freeEmptyFiles moves the oldest files to the free list, up to the first one with
// live records. The mutex is held.
func (l *Log) freeEmptyFiles() bool {
	freed := false
	for len(l.ring) > 1 && l.ring[0].liveRecords == 0 && l.ring[0].file != nil {
		oldest := l.ring[0]
		l.ring = l.ring[1:]
		oldest.generation = 0
		l.free = append(l.free, oldest)
		freed = true
	}
	return freed
}

// mustReclaim reports whether the live records of the oldest file must be moved
// to the end of the log: either only reserved files are left and the dead
// records add up to at least one file, since less would gain nothing, or no
// file is free and the oldest is nearly empty.
func (l *Log) mustReclaim() bool {
	if len(l.ring) < minFilesToReclaim || l.ring[0].file == nil {
		return false
	}
	var used int64
	for _, s := range l.ring[:len(l.ring)-1] {
		used += int64(s.endOffset)
	}
	last := l.ring[len(l.ring)-1]
	dead := used - (l.liveBytes - last.liveBytes)
	if l.shortOfFiles() {
		return dead >= int64(l.segmentSize)
	}
	return len(l.free) == 0 && l.ring[0].liveBytes < int64(l.segmentSize)/sparseDivisor
}

// reclaim offers the records of a file to the owner and waits until their
// replacements are durable. The file may be freed and reused meanwhile, which
// shows in its generation.
func (l *Log) reclaim(victim *segmentFile, file File, generation uint64) bool {
	if l.Barrier().Wait() != nil {
		return false
	}
	scanner := newScanner(file, generation, l.segmentSize)
	batch := 0
	for {
		record, ok, err := scanner.next()
		if err != nil {
			l.abort(err)
			return false
		}
		if !ok {
			break
		}
		if err := l.owner.Reclaim(record.kind, record.payload, record.position); err != nil {
			if !errors.Is(err, ErrFull) && !errors.Is(err, ErrClosed) {
				l.abort(err)
			}
			return false
		}
		if batch += len(record.payload); batch >= reclaimBatchBytes {
			batch = 0
			if l.Barrier().Wait() != nil {
				return false
			}
		}
	}
	if l.Barrier().Wait() != nil {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if victim.generation == generation && victim.liveRecords != 0 {
		l.logger.Info("records left in a reclaimed file", "file", victim.name, "count", victim.liveRecords)
		l.liveBytes -= victim.liveBytes
		victim.liveRecords, victim.liveBytes = 0, 0
	}
	return true
}

// abort stops the log with an error, unless it has failed already.
func (l *Log) abort(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure == nil {
		l.fail(err)
	}
	signal(l.wakeWriter)
}

// createSpareFile creates a free file before it is needed. If the disk is full, the
// file is only registered and is created later.
func (l *Log) createSpareFile() bool {
	l.mutex.Lock()
	name := fileName(l.nextNumber)
	l.nextNumber++
	l.fileCount++
	l.mutex.Unlock()
	file, err := l.create(name)
	if err != nil && !NoSpace(err) {
		l.abort(err)
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.free = append(l.free, &segmentFile{name: name, file: file})
	if err != nil && l.space == spaceAvailable {
		l.setSpace(spaceLow)
	}
	return err == nil
}
