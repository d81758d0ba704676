package control

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/register"
	"yardwharf/internal/service/segment"
)

// File name, limits and record sizes of the history.
const (
	historyFileName     = "history"
	maxHistoryEntries   = 50_000 // if exceeded, the older half is dropped
	maxUnwrittenEntries = 64     // changes per write; those lost before a write are still in the register's value
	digestSize          = 32
	// Checksum, revision, base and digest.
	historyRecordSize = 4 + 8 + 8 + digestSize
	// Magic, checksum, the revision that precedes the first entry, and the chain up to it.
	historyHeaderSize = 4 + 4 + 8 + digestSize
)

var historyMagic = [4]byte{'Y', 'W', 'H', '1'}

// changeHistory holds the configuration changes that were taken, up to maxHistoryEntries.
// The register's value only has the latest changes and the hash chain over all of them: a
// history is verified if its own chain equals that of a decided value. Entries missing
// from the file are read again from the value or from other members.
type changeHistory struct {
	mutex    sync.Mutex
	file     segment.File // nil: in memory only
	log      logr.Logger
	since    int64          // the entries are all changes after this revision
	start    register.Chain // the chain up to since
	entries  []register.Entry
	head     register.Chain // the chain up to the last entry
	written  int            // number of entries in the file; -1 if the file has to be rewritten
	verified bool           // whether the chain of a decided value confirmed the entries
}

// openHistory reads the history file of a folder. It ignores the first damaged entry and
// all after it.
func openHistory(files segment.Files, log logr.Logger) (*changeHistory, error) {
	h := &changeHistory{log: log}
	file, err := files.Open(historyFileName, true)
	if err != nil {
		return nil, err
	}
	h.file = file
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	content := make([]byte, size)
	if _, err := file.ReadAt(content, 0); err != nil && size > 0 {
		return nil, Class.Wrap(err)
	}
	h.decode(content)
	return h, nil
}

// decode reads the entries from the content of a file.
func (h *changeHistory) decode(content []byte) {
	if len(content) < historyHeaderSize || [4]byte(content) != historyMagic || checksum(content[8:historyHeaderSize]) != binary.BigEndian.Uint32(content[4:]) {
		if len(content) > 0 {
			h.log.Info("history file damaged, ignoring its content", "offset", 0, "cause", "invalid header")
		}
		return
	}
	h.since = int64(binary.BigEndian.Uint64(content[8:]))
	h.start = decodeChain(content[16:historyHeaderSize])
	h.head = h.start
	for offset := historyHeaderSize; offset < len(content); offset += historyRecordSize {
		record := content[offset:min(offset+historyRecordSize, len(content))]
		if len(record) < historyRecordSize || checksum(record[4:]) != binary.BigEndian.Uint32(record) {
			h.log.Info("history file damaged, ignoring the rest", "offset", offset, "cause", "damaged or torn record")
			break
		}
		h.add(register.Entry{
			Revision: int64(binary.BigEndian.Uint64(record[4:])), Base: int64(binary.BigEndian.Uint64(record[12:])),
			Digest: string(record[20:]),
		})
	}
	h.written = len(h.entries)
}

func checksum(content []byte) uint32 { return crc32.Checksum(content, castagnoliTable) }

// decodeChain decodes a chain; all zeros mean an empty chain.
func decodeChain(content []byte) register.Chain {
	if !slices.ContainsFunc(content, func(b byte) bool { return b != 0 }) {
		return ""
	}
	return register.Chain(content)
}

func (h *changeHistory) add(entry register.Entry) {
	h.entries = append(h.entries, entry)
	h.head = h.head.Extend(entry)
}

// lastRevision returns the newest revision in the history.
func (h *changeHistory) lastRevision() int64 {
	if len(h.entries) == 0 {
		return h.since
	}
	return h.entries[len(h.entries)-1].Revision
}

// extendTo appends the changes of a decided value that the history lacks. It reports false
// if the value does not contain all of them, so that other members have to be asked.
func (h *changeHistory) extendTo(value *register.Value) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.head == value.Chain {
		h.verified = value.Chain != ""
		return true
	}
	if h.head == "" {
		h.since = value.ChainSince
	}
	missing := value.EntriesAfter(h.lastRevision())
	if h.head.ExtendAll(missing) != value.Chain {
		return false
	}
	h.appendEntries(missing)
	h.verified = true
	return true
}

// replaceWith replaces the history with that of another member, up to the entry at which its
// chain equals that of a decided value. It reports false if there is no such entry.
func (h *changeHistory) replaceWith(reply historyReply, value *register.Value) bool {
	chain, verified := reply.Start, 0
	for verified < len(reply.Entries) && chain != value.Chain {
		chain = chain.Extend(reply.Entries[verified])
		verified++
	}
	if chain != value.Chain || verified == 0 {
		return false
	}
	reply.Entries = reply.Entries[:verified]
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reset(reply)
	return true
}

// resetTo resets the history to the changes that a decided value contains, dropping
// entries that cannot be verified.
func (h *changeHistory) resetTo(value *register.Value) {
	since, start, entries := value.RetainedHistory()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reset(historyReply{Since: since, Start: start, Entries: entries})
}

func (h *changeHistory) reset(reply historyReply) {
	h.since, h.start, h.head, h.entries = reply.Since, reply.Start, reply.Start, nil
	h.written, h.verified = -1, true
	h.appendEntries(reply.Entries)
}

// appendEntries appends changes and writes them in batches. The caller holds the mutex.
func (h *changeHistory) appendEntries(entries []register.Entry) {
	for _, entry := range entries {
		h.add(entry)
	}
	if excess := len(h.entries) - maxHistoryEntries; excess > 0 {
		h.dropOldest(len(h.entries) / 2)
	}
	if h.written < 0 || len(h.entries)-h.written >= maxUnwrittenEntries {
		h.write()
	}
}

// dropOldest removes the oldest changes.
func (h *changeHistory) dropOldest(count int) {
	h.start = h.start.ExtendAll(h.entries[:count])
	h.since = h.entries[count-1].Revision
	h.entries = slices.Clone(h.entries[count:])
	h.written = -1
}

// write brings the file up to date. If it fails, the next write retries; until then the
// entries can be recovered from the register's value.
func (h *changeHistory) write() {
	if h.file == nil {
		h.written = len(h.entries)
		return
	}
	var content []byte
	offset := int64(0)
	if h.written <= 0 {
		content, h.written = h.encodeHeader(), 0
	} else {
		offset = int64(historyHeaderSize + h.written*historyRecordSize)
	}
	for _, entry := range h.entries[h.written:] {
		content = appendRecord(content, entry)
	}
	_, err := h.file.WriteAt(content, offset)
	if err == nil {
		err = h.file.Truncate(offset + int64(len(content)))
	}
	if err == nil {
		err = h.file.Sync()
	}
	if err != nil {
		h.log.Info("writing the history failed", "cause", err.Error())
		return
	}
	h.written = len(h.entries)
}

func (h *changeHistory) encodeHeader() []byte {
	header := make([]byte, historyHeaderSize)
	copy(header, historyMagic[:])
	binary.BigEndian.PutUint64(header[8:], uint64(h.since))
	copy(header[16:], h.start)
	binary.BigEndian.PutUint32(header[4:], checksum(header[8:]))
	return header
}

func appendRecord(content []byte, entry register.Entry) []byte {
	record := make([]byte, historyRecordSize)
	binary.BigEndian.PutUint64(record[4:], uint64(entry.Revision))
	binary.BigEndian.PutUint64(record[12:], uint64(entry.Base))
	copy(record[20:], entry.Digest)
	binary.BigEndian.PutUint32(record, checksum(record[4:]))
	return append(content, record...)
}

// lookUp returns the outcome of an earlier change: Taken, Stale, or Forgotten if the history
// does not contain its revision or is not verified.
func (h *changeHistory) lookUp(revision int64, digest string) register.Outcome {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.verified || revision <= h.since || revision > h.lastRevision() {
		return register.Forgotten
	}
	index, found := slices.BinarySearchFunc(h.entries, revision, func(entry register.Entry, wanted int64) int {
		return int(min(max(entry.Revision-wanted, -1), 1))
	})
	if found && h.entries[index].Digest == digest {
		return register.Taken
	}
	return register.Stale
}

// snapshot returns a copy of the history for another member.
func (h *changeHistory) snapshot() historyReply {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return historyReply{Since: h.since, Start: h.start, Entries: slices.Clone(h.entries)}
}

// close writes the remaining entries and closes the file.
func (h *changeHistory) close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.written != len(h.entries) {
		h.write()
	}
	if h.file != nil {
		_ = h.file.Close()
	}
}
