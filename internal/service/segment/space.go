package segment

import (
	"errors"
	"syscall"
	"time"
)

const (
	reserveName        = "reserve"
	reserveDivisor     = 8                      // the reserve has 1/8 of the size of a segment file
	writeRetryInterval = 200 * time.Millisecond // between two attempts to write a group to a full disk
	spaceCheckInterval = time.Second            // between two attempts to restore the reserve
	zeroChunkSize      = 64 << 10
)

// diskSpace is the state of the free space on the disk.
type diskSpace uint8

// The states of the disk space. The reserve is a file of zeros. It is truncated when a write
// fails for lack of space, which leaves room for vital records.
const (
	spaceAvailable diskSpace = iota
	spaceLow                 // a write failed for lack of space: ordinary records are refused
	spaceExhausted           // writes fail without the reserve too: all records are refused
)

// reserve is the file that holds back disk space.
type reserve struct {
	file   File
	filled bool // the file has its full size
}

// NoSpace reports whether an error means that the disk or the quota is full. After any other
// write error, the contents of the disk are unknown.
func NoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// DiskFull reports whether a write has failed for lack of space and the reserve has not been
// restored since.
func (l *Log) DiskFull() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.space != spaceAvailable
}

// HasRoom reports whether ordinary records are accepted.
func (l *Log) HasRoom() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure == nil && l.space == spaceAvailable && l.hasRoom(0)
}

// setSpace changes the state of the disk space. The mutex is held.
func (l *Log) setSpace(now diskSpace) {
	if now == l.space {
		return
	}
	before := l.space
	l.space = now
	switch {
	case now == spaceAvailable:
		l.logger.Info("disk has space again, records are accepted")
	case now == spaceExhausted:
		l.logger.Info("disk is full, the reserve is used up")
	case before == spaceAvailable:
		l.logger.Info("disk is full")
	}
	if now == spaceExhausted {
		l.failWaiters()
	}
	if now != spaceAvailable {
		l.scheduleSpaceCheck()
	}
}

// failWaiters fails all waiting callers with ErrFull. Their records stay queued and may
// still become durable. The mutex is held.
func (l *Log) failWaiters() {
	for _, commit := range []**Commit{&l.writingCommit, &l.pendingCommit} {
		if *commit != nil {
			(*commit).complete(ErrFull)
			*commit = newCommit()
		}
	}
}

// scheduleSpaceCheck schedules a check of the disk space by the cleaner. The mutex is held.
func (l *Log) scheduleSpaceCheck() {
	if l.spaceCheckScheduled {
		return
	}
	l.spaceCheckScheduled = true
	time.AfterFunc(spaceCheckInterval, func() {
		l.mutex.Lock()
		l.spaceCheckScheduled = false
		l.mutex.Unlock()
		signal(l.wakeCleaner)
	})
}

// awaitSpace is called when a group did not fit on the disk: it releases the reserve, or
// waits for the next attempt. It reports false when the log has been closed or has failed.
func (l *Log) awaitSpace() bool {
	l.mutex.Lock()
	reserveFilled := l.reserve.filled
	if reserveFilled {
		l.setSpace(spaceLow)
	} else {
		l.setSpace(spaceExhausted)
	}
	l.mutex.Unlock()
	if reserveFilled && l.releaseReserve() {
		return true
	}
	select {
	case <-l.closing:
		return false
	case <-time.After(writeRetryInterval):
		return l.Failed() == nil
	}
}

// groupWritten updates the disk state after a group was written. The mutex is held.
func (l *Log) groupWritten() {
	if l.space == spaceExhausted {
		l.setSpace(spaceLow)
	}
}

// releaseReserve truncates the reserve to free its disk space, and reports whether that
// succeeded.
func (l *Log) releaseReserve() bool {
	l.reserveMutex.Lock()
	defer l.reserveMutex.Unlock()
	l.mutex.Lock()
	l.reserve.filled = false
	file := l.reserve.file
	l.mutex.Unlock()
	if err := file.Truncate(0); err != nil {
		return false
	}
	return file.Sync() == nil
}

// restoreReserve fills the reserve, creates the files that a full disk prevented, and reports
// whether that succeeded. If the disk is full, ordinary records are refused.
func (l *Log) restoreReserve() bool {
	err := l.fillReserve()
	if err == nil {
		err = l.createMissingFiles()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case err == nil:
		l.setSpace(spaceAvailable)
		return true
	case !NoSpace(err):
		l.logger.V(1).Info("cannot restore the disk reserve", "cause", err.Error())
	case l.space == spaceAvailable:
		l.setSpace(spaceLow)
	}
	l.scheduleSpaceCheck()
	return false
}

// fillReserve writes zeros to the reserve, since setting its length would not allocate disk
// space.
func (l *Log) fillReserve() error {
	l.reserveMutex.Lock()
	defer l.reserveMutex.Unlock()
	l.mutex.Lock()
	filled, file := l.reserve.filled, l.reserve.file
	l.mutex.Unlock()
	if filled {
		return nil
	}
	if file == nil {
		opened, err := l.files.Open(reserveName, true)
		if err != nil {
			return err
		}
		file = opened
	}
	size := int64(l.segmentSize / reserveDivisor)
	currentSize, err := file.Size()
	if err == nil && currentSize != size {
		err = writeZeros(file, size)
	}
	if err != nil {
		_ = file.Truncate(0) // leave the space to records
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reserve = reserve{file: file, filled: err == nil}
	return err
}

// writeZeros fills a file with zeros and syncs it.
func writeZeros(file File, size int64) error {
	zeros := make([]byte, min(size, zeroChunkSize))
	for offset := int64(0); offset < size; offset += int64(len(zeros)) {
		if _, err := file.WriteAt(zeros[:min(size-offset, int64(len(zeros)))], offset); err != nil {
			return Class.Wrap(err)
		}
	}
	return Class.Wrap(file.Sync())
}

// createMissingFiles creates the free files that could not be created on a full disk.
func (l *Log) createMissingFiles() error {
	l.mutex.Lock()
	var missing []*segmentFile
	for _, s := range l.free {
		if s.file == nil {
			missing = append(missing, s)
		}
	}
	l.mutex.Unlock()
	for _, s := range missing {
		file, err := l.create(s.name)
		if err != nil {
			return err
		}
		l.mutex.Lock()
		if s.file == nil {
			s.file, file = file, nil
		}
		l.mutex.Unlock()
		if file != nil {
			_ = file.Close() // the writer has created the file meanwhile
		}
	}
	return nil
}

// extend gives a file its full length. A full disk is not an error: the file grows as it is
// written.
func (l *Log) extend(file File) error {
	err := l.setLength(file)
	if !NoSpace(err) {
		return err
	}
	l.mutex.Lock()
	l.setSpace(spaceLow)
	l.mutex.Unlock()
	return Class.Wrap(file.Sync())
}
