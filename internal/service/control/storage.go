package control

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"

	"yardwharf/internal/service/register"
	"yardwharf/internal/service/segment"
)

// Format of the register's state files. Saves alternate between two slots, so
// that the newest complete save survives a loss of power during the next one.
const (
	slotCount  = 2
	slotFormat = 2
	// Magic, format, generation, length and checksum.
	slotHeaderSize = 4 + 4 + 8 + 8 + 4
)

var (
	slotMagic       = [4]byte{'Y', 'W', 'R', 'G'}
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
)

// errUnsupportedFormat is returned for a file that was not written in this format.
var errUnsupportedFormat = errors.New("not a register file of format 2")

// slotStorage keeps an acceptor's state in two slot files.
type slotStorage struct {
	files      segment.Files
	slots      [slotCount]segment.File
	generation uint64
}

// openStorage opens the slots of a folder, creating it if needed, and reports
// whether it found a saved state. The folder's path is only used in errors.
func openStorage(files segment.Files, folder string) (*slotStorage, register.State, bool, error) {
	storage := &slotStorage{files: files}
	if _, err := files.List(); err != nil { // creates the folder
		return nil, register.State{}, false, err
	}
	var newest register.State
	found := false
	for slot := range slotCount {
		state, generation, err := readSlot(files, slotName(slot))
		switch {
		case errors.Is(err, errUnsupportedFormat):
			return nil, register.State{}, false, fmt.Errorf("%s: %w", filepath.Join(folder, slotName(slot)), err)
		case err != nil || found && generation <= storage.generation:
			continue
		}
		newest, storage.generation, found = state, generation, true
	}
	if err := storage.openSlots(); err != nil {
		return nil, register.State{}, false, err
	}
	return storage, newest, found, nil
}

// slotName returns the name of a slot's file.
func slotName(slot int) string { return fmt.Sprintf("register.%d", slot) }

// openSlots opens both files and makes their names durable, so that a save
// only has to sync its own file.
func (s *slotStorage) openSlots() error {
	for slot := range slotCount {
		file, err := s.files.Open(slotName(slot), true)
		if err != nil {
			s.Close()
			return err
		}
		s.slots[slot] = file
		if err := file.Sync(); err != nil {
			s.Close()
			return err
		}
	}
	return s.files.Sync()
}

// Close closes the files.
func (s *slotStorage) Close() {
	for _, file := range s.slots {
		if file != nil {
			_ = file.Close()
		}
	}
}

// Save writes the state into the slot that does not hold the newest save.
func (s *slotStorage) Save(state register.State) error {
	generation := s.generation + 1
	content, err := encodeSlot(state, generation)
	if err != nil {
		return err
	}
	file := s.slots[generation%slotCount]
	if _, err := file.WriteAt(content, 0); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	s.generation = generation
	return nil
}

func encodeSlot(state register.State, generation uint64) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, slotHeaderSize))
	if err := gob.NewEncoder(&out).Encode(state); err != nil {
		return nil, err
	}
	content := out.Bytes()
	copy(content, slotMagic[:])
	binary.BigEndian.PutUint32(content[4:], slotFormat)
	binary.BigEndian.PutUint64(content[8:], generation)
	binary.BigEndian.PutUint64(content[16:], uint64(len(content)-slotHeaderSize))
	binary.BigEndian.PutUint32(content[24:], slotChecksum(content))
	return content, nil
}

// slotChecksum returns the checksum of a slot's content, excluding the checksum field.
func slotChecksum(content []byte) uint32 {
	sum := crc32.Update(0, castagnoliTable, content[:slotHeaderSize-4])
	return crc32.Update(sum, castagnoliTable, content[slotHeaderSize:])
}

// readSlot reads one slot. A missing slot and one that was torn by a loss of
// power return an ordinary error, a file of another format errUnsupportedFormat.
func readSlot(files segment.Files, name string) (register.State, uint64, error) {
	file, err := files.Open(name, false)
	if err != nil {
		return register.State{}, 0, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return register.State{}, 0, err
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(file, 0, size), content); err != nil {
		return register.State{}, 0, err
	}
	return decodeSlot(content)
}

func decodeSlot(content []byte) (register.State, uint64, error) {
	var state register.State
	if hasForeignMagic(content) {
		return state, 0, errUnsupportedFormat
	}
	if len(content) < slotHeaderSize || !bytes.Equal(content[:4], slotMagic[:]) {
		return state, 0, errors.New("header is missing or incomplete")
	}
	length := binary.BigEndian.Uint64(content[16:])
	if length > uint64(len(content)-slotHeaderSize) {
		return state, 0, errors.New("content is truncated")
	}
	content = content[:slotHeaderSize+int(length)]
	if slotChecksum(content) != binary.BigEndian.Uint32(content[24:]) {
		return state, 0, errors.New("checksum mismatch")
	}
	if binary.BigEndian.Uint32(content[4:]) != slotFormat {
		return state, 0, errUnsupportedFormat
	}
	if err := gob.NewDecoder(bytes.NewReader(content[slotHeaderSize:])).Decode(&state); err != nil {
		return state, 0, fmt.Errorf("%w: %v", errUnsupportedFormat, err)
	}
	return state, binary.BigEndian.Uint64(content[8:]), nil
}

// hasForeignMagic reports whether the content belongs to another kind of file. A write
// torn by a loss of power leaves each byte of the magic either correct or zero.
func hasForeignMagic(content []byte) bool {
	for i, b := range content[:min(len(content), len(slotMagic))] {
		if b != 0 && b != slotMagic[i] {
			return true
		}
	}
	return false
}
