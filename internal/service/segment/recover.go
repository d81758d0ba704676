package segment

import (
	"encoding/binary"
	"errors"
	"io"
	"slices"
)

const scanBufferSize = 64 << 10

// New returns a log that must be opened with Start.
func New(options Options, owner Owner) (*Log, error) {
	if len(options.StoreID) == 0 || len(options.StoreID) > storeIDSize {
		return nil, Class.New("invalid store ID length: %d bytes", len(options.StoreID))
	}
	return &Log{
		files: options.Files, logger: options.Log, storeID: options.StoreID, owner: owner,
		segmentSize: uint32(options.SegmentSize), maxSegments: max(options.MaxSegments, minFiles),
		wakeWriter: make(chan struct{}, 1), wakeCleaner: make(chan struct{}, 1), closing: make(chan struct{}), stopped: make(chan struct{}),
	}, nil
}

// Start recovers the log, replaying each record to the owner, and starts the
// writer and the cleaner.
func (l *Log) Start() error {
	if err := l.recover(); err != nil {
		l.closeFiles()
		return err
	}
	l.workers.Add(2)
	go l.writeLoop()
	go l.cleanLoop()
	signal(l.wakeCleaner)
	return nil
}

func (l *Log) closeFiles() {
	for _, s := range append(slices.Clone(l.ring), l.free...) {
		if s.file != nil {
			_ = s.file.Close()
		}
	}
}

func (l *Log) recover() error {
	if err := l.openFiles(); err != nil {
		return err
	}
	slices.SortFunc(l.ring, func(a, b *segmentFile) int {
		if a.generation < b.generation {
			return -1
		}
		return 1
	})
	for i, s := range l.ring {
		if i > 0 && s.generation == l.ring[i-1].generation {
			return Class.New("%s: generation %d is also used by %s", s.name, s.generation, l.ring[i-1].name)
		}
	}
	for i, s := range l.ring {
		if err := l.replay(s, i == len(l.ring)-1); err != nil {
			return err
		}
	}
	l.formatted = len(l.ring) == 0
	if l.formatted {
		l.roll()
		return nil
	}
	l.generation = l.ring[len(l.ring)-1].generation
	return nil
}

// openFiles opens the segment files. Those with a header go to the ring, the
// others to the free list.
func (l *Log) openFiles() error {
	names, err := l.files.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	haveHeader := false
	for _, name := range names {
		number, ok := fileNumber(name)
		if !ok {
			continue
		}
		l.nextNumber = max(l.nextNumber, number+1)
		file, err := l.files.Open(name, false)
		if err != nil {
			return err
		}
		s := &segmentFile{name: name, file: file}
		l.fileCount++
		header, err := readHeader(file)
		if errors.Is(err, errUnusedFile) {
			l.free = append(l.free, s)
			continue
		}
		l.ring = append(l.ring, s)
		if err != nil {
			return Class.New("%s: refused: %v", name, err)
		}
		if haveHeader && header.storeID != l.storeID {
			return Class.New("%s: refused: it belongs to store %q, not %q", name, header.storeID, l.storeID)
		}
		haveHeader, l.storeID, l.segmentSize = true, header.storeID, header.size
		s.generation = header.generation
	}
	for _, s := range l.free {
		if err := l.extend(s.file); err != nil {
			return err
		}
	}
	return nil
}

func readHeader(file File) (fileHeader, error) {
	block := make([]byte, headerSize)
	n, err := file.ReadAt(block, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return fileHeader{}, Class.Wrap(err)
	}
	return decodeHeader(block[:n])
}

// replay passes the records of a file to the owner, up to the first invalid
// one. The last file is zeroed from there on, so that no record of a lost group
// can reappear later. It is also synced: a process killed before its sync may
// have left records there, and replayed records are considered durable.
func (l *Log) replay(s *segmentFile, last bool) error {
	scanner := newScanner(s.file, s.generation, l.segmentSize)
	for {
		record, ok, err := scanner.next()
		if err != nil {
			return Class.New("%s: offset %d: %v", s.name, scanner.offset, err)
		}
		if !ok {
			break
		}
		s.liveRecords++
		size := int64(recordHeaderSize + len(record.payload))
		s.liveBytes += size
		l.liveBytes += size
		if err := l.owner.Replay(record.kind, record.payload, record.position); err != nil {
			return Class.New("%s: offset %d: %v", s.name, record.position.Offset, err)
		}
	}
	s.endOffset = scanner.offset
	if cause := scanner.stopCause; cause != "" && (last || !scanner.foundEnd) {
		l.logger.Info("ignored data after the last valid record", "file", s.name, "offset", s.endOffset, "cause", cause)
	}
	if scanner.foundEnd {
		s.endOffset = l.segmentSize
	}
	switch {
	case !last:
		return nil // it was synced before the next file was started
	case scanner.foundEnd:
		return Class.Wrap(s.file.Sync())
	}
	if err := s.file.Truncate(int64(s.endOffset)); err != nil {
		return Class.Wrap(err)
	}
	return l.extend(s.file)
}

// scannedRecord is a record read by a scanner.
type scannedRecord struct {
	kind     byte
	payload  []byte
	position Position
}

// scanner reads the records of a file in order through a small buffer.
type scanner struct {
	file         File
	generation   uint64
	limit        uint32
	offset       uint32 // of the next record
	foundEnd     bool   // whether the end record was read
	stopCause    string // why the scan stopped at invalid data
	buffer       []byte
	bufferOffset uint32 // file offset of the start of the buffer
}

func newScanner(file File, generation uint64, limit uint32) *scanner {
	return &scanner{file: file, generation: generation, limit: limit, offset: headerSize}
}

// next returns the next record, or false where the valid records end.
func (s *scanner) next() (scannedRecord, bool, error) {
	if s.offset+recordHeaderSize > s.limit {
		return scannedRecord{}, false, nil
	}
	head, err := s.peek(recordHeaderSize)
	if err != nil {
		return scannedRecord{}, false, err
	}
	if head == nil {
		s.stopCause = "file is too short"
		return scannedRecord{}, false, nil
	}
	size := binary.LittleEndian.Uint32(head)
	if size == 0 && head[4] == 0 {
		return scannedRecord{}, false, nil // zeros: never written
	}
	if size > s.limit-s.offset-recordHeaderSize {
		s.stopCause = "record length exceeds the end of the file"
		return scannedRecord{}, false, nil
	}
	record, err := s.peek(recordHeaderSize + size)
	if err != nil {
		return scannedRecord{}, false, err
	}
	kind, payload, bad := parseRecord(record, s.generation)
	if bad != nil {
		s.stopCause = "checksum differs"
		return scannedRecord{}, false, nil
	}
	if kind == kindEnd {
		s.foundEnd = true
		return scannedRecord{}, false, nil
	}
	found := scannedRecord{kind, payload, Position{s.generation, s.offset, size}}
	s.offset += recordHeaderSize + size
	return found, true, nil
}

// peek returns the next size bytes without advancing, or nil if the file has
// fewer.
func (s *scanner) peek(size uint32) ([]byte, error) {
	if s.offset >= s.bufferOffset && uint64(s.offset)+uint64(size) <= uint64(s.bufferOffset)+uint64(len(s.buffer)) {
		start := s.offset - s.bufferOffset
		return s.buffer[start : start+size], nil
	}
	want := max(size, min(scanBufferSize, s.limit-s.offset))
	if uint32(cap(s.buffer)) < want {
		s.buffer = make([]byte, want)
	}
	s.buffer = s.buffer[:want]
	n, err := s.file.ReadAt(s.buffer, int64(s.offset))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, Class.Wrap(err)
	}
	s.buffer, s.bufferOffset = s.buffer[:n], s.offset
	if uint32(n) < size {
		return nil, nil
	}
	return s.buffer[:size], nil
}

// parseRecord verifies an encoded record and returns its kind and payload.
func parseRecord(record []byte, generation uint64) (byte, []byte, error) {
	if len(record) < recordHeaderSize {
		return 0, nil, Class.New("record is too short")
	}
	payload := record[recordHeaderSize:]
	if int(binary.LittleEndian.Uint32(record)) != len(payload) {
		return 0, nil, Class.New("record length mismatch")
	}
	if checksum(generation, record, payload) != binary.LittleEndian.Uint32(record[5:]) {
		return 0, nil, Class.New("checksum differs")
	}
	return record[4], payload, nil
}
