package segment

// writeLoop commits one group after another until the log is closed or fails.
func (l *Log) writeLoop() {
	defer l.workers.Done()
	defer close(l.stopped)
	for range l.wakeWriter {
		for l.writeGroup() {
		}
		l.mutex.Lock()
		end := l.failure != nil || l.closed && len(l.pending) == 0
		l.mutex.Unlock()
		if end {
			signal(l.wakeCleaner)
			return
		}
	}
}

// writeGroup commits the pending group, and reports whether another one is
// pending. It reports false when the log has failed.
func (l *Log) writeGroup() bool {
	l.mutex.Lock()
	group, commit := l.pending, l.pendingCommit
	if commit == nil || l.failure != nil {
		l.mutex.Unlock()
		return false
	}
	l.pending, l.pendingCommit, l.writingCommit, l.writing = nil, nil, commit, group
	l.pendingBytes = 0
	l.mutex.Unlock()

	err := l.writeRuns(group)
	for NoSpace(err) && l.awaitSpace() {
		err = l.writeRuns(group)
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writingCommit.complete(err)
	l.writingCommit, l.writing = nil, nil
	for _, r := range group {
		if cap(r.bytes) <= maxSpareBuffer && len(l.spareBuffers) < 2 {
			l.spareBuffers = append(l.spareBuffers, r.bytes)
		}
	}
	if err != nil {
		l.fail(err)
		return false
	}
	l.groupWritten()
	return l.pendingCommit != nil
}

// fail stops the log with an error and fails the pending group, so that none of
// its records is acknowledged. The mutex is held.
func (l *Log) fail(err error) {
	l.failure = err
	if l.pendingCommit != nil {
		l.pendingCommit.complete(err)
		l.pendingCommit, l.pending = nil, nil
	}
	l.logger.Info("log failed", "cause", err.Error())
}

// writeRuns writes and syncs the runs of a group in order, so that a file is
// never started before the previous one is complete.
func (l *Log) writeRuns(group []run) error {
	for _, r := range group {
		if r.segment.file == nil {
			file, err := l.create(r.segment.name)
			if err != nil {
				return err
			}
			l.mutex.Lock()
			r.segment.file = file
			l.mutex.Unlock()
		}
		if err := writeRun(r); err != nil {
			return err
		}
	}
	return nil
}

// writeRun writes and syncs one run. The header of a file is synced first:
// otherwise the old header could survive while the records after it are
// overwritten, and recovery would read the remains as the old log.
func writeRun(r run) error {
	if r.offset == 0 {
		if err := writeSynced(r.segment.file, r.bytes[:headerSize], 0); err != nil {
			return err
		}
		r.offset, r.bytes = headerSize, r.bytes[headerSize:]
	}
	return writeSynced(r.segment.file, r.bytes, int64(r.offset))
}

func writeSynced(file File, bytes []byte, offset int64) error {
	if len(bytes) == 0 {
		return nil
	}
	if _, err := file.WriteAt(bytes, offset); err != nil {
		return Class.Wrap(err)
	}
	return Class.Wrap(file.Sync())
}

// create creates a file of full length and makes its name and length durable.
func (l *Log) create(name string) (File, error) {
	file, err := l.files.Open(name, true)
	if err != nil {
		return nil, err
	}
	if err := l.setLength(file); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// setLength gives a file its full length and syncs it and the folder.
func (l *Log) setLength(file File) error {
	if err := file.Truncate(int64(l.segmentSize)); err != nil {
		return Class.Wrap(err)
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return l.files.Sync()
}
