package yardwharf

import (
	"encoding/binary"
	"math"
	"time"
)

// A message between dispatchers holds the number of slots that the sender's jobs need
// at each worker: a fingerprint of its worker list (4 bytes), the index of the first
// worker in the message (2 bytes), then four bits per worker in the order of ids. A
// receiver whose list differs ignores it.
const (
	// MaxPeerMessage is the size limit of a message to peers in bytes: what a datagram of 256 bytes
	// leaves after the host's framing.
	MaxPeerMessage = 240

	countsHeaderSize    = 6
	maxCountsPerMessage = 2 * (MaxPeerMessage - countsHeaderSize) // workers per message
	maxCount            = 15                                      // largest count that fits four bits, and their mask
)

// fingerprint returns a hash of a worker list (FNV-1a over the ids).
func fingerprint(list []*member) uint32 {
	h := uint32(2166136261)
	for _, m := range list {
		for id := uint64(m.w.id); id > 0; id >>= 8 {
			h = (h ^ uint32(id&0xff)) * 16777619
		}
	}
	return h
}

// appendCounts appends the message about the workers of list from index from on.
func appendCounts(buf []byte, listFingerprint uint32, from int, list []*member) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, listFingerprint)
	buf = binary.LittleEndian.AppendUint16(buf, uint16(from))
	for i := from; i < min(len(list), from+maxCountsPerMessage); i += 2 {
		v := byte(min(list[i].w.load, maxCount))
		if i+1 < len(list) {
			v |= byte(min(list[i+1].w.load, maxCount)) << 4
		}
		buf = append(buf, v)
	}
	return buf
}

// readCounts records a peer's load at the workers of list. It returns false if the message is for
// another list.
func readCounts(data []byte, listFingerprint uint32, peer int, list []*member) bool {
	if len(data) < countsHeaderSize || binary.LittleEndian.Uint32(data) != listFingerprint {
		return false
	}
	from := int(binary.LittleEndian.Uint16(data[4:]))
	for i, v := range data[countsHeaderSize:] {
		for j, n := range [2]byte{v & maxCount, v >> 4} {
			if at := from + 2*i + j; at < len(list) {
				list[at].w.setPeerLoad(peer, n)
			}
		}
	}
	return true
}

// setPeerLoad sets the slots that a peer uses at a worker.
func (w *worker) setPeerLoad(peer int, n byte) {
	for len(w.peerLoads) <= peer {
		w.peerLoads = append(w.peerLoads, 0)
	}
	w.peerLoad += int(n) - int(w.peerLoads[peer])
	w.peerLoads[peer] = n
}

// forgetSilentPeers drops the counts of peers that were last heard before a time.
func (b *Balancer) forgetSilentPeers(before time.Duration) {
	for peer, at := range b.lastHeard {
		if at != 0 && at < before {
			for _, w := range b.workers {
				w.setPeerLoad(peer, 0)
			}
			b.lastHeard[peer] = 0
			for i := range b.tenants {
				if peer < len(b.tenants[i].peerHeard) {
					b.tenants[i].peerHeard[peer] = false
				}
			}
		}
	}
}

const (
	peerMessageBudget      = 0.005                 // part of a request's worth that messages to peers may cost
	maxPeerBytesPerRequest = 512.0                 // delivered bytes per request, whatever the price
	peerPriceUnit          = 256.0                 // bytes that PeerPrice is stated for
	minPeerInterval        = 20 * time.Millisecond // least time between messages to peers
	peerTimeout            = time.Second           // the counts of a peer silent for this long are dropped
)

// PeerMessage handles a message from another dispatcher about its load at each worker. While one process
// of a dispatcher takes over from another, the leaving one sends as the dispatcher's number plus
// the number of dispatchers.
func (b *Balancer) PeerMessage(now time.Duration, from int, data []byte) {
	b.now = now
	if from >= 0 && from < len(b.lastHeard) && from != b.s.Me && readCounts(data, b.listFingerprint, from, b.splits[0].members) {
		b.lastHeard[from] = now
		if tenantsAt := countsHeaderSize + (len(b.splits[0].members)-int(binary.LittleEndian.Uint16(data[4:]))+1)/2; tenantsAt < len(data) {
			b.readTaken(data[tenantsAt:], from)
		}
	}
}

// peerBytesPerRequest returns the bytes of messages to peers that may be delivered per accepted request.
func (b *Balancer) peerBytesPerRequest() float64 {
	if b.s.PeerPrice <= 0 {
		return maxPeerBytesPerRequest
	}
	return min(maxPeerBytesPerRequest, peerPriceUnit*peerMessageBudget/b.s.PeerPrice)
}

// sendPeerCounts sends this dispatcher's load at each worker to the peers, as often as the
// traffic pays for, and drops the counts of silent peers.
func (b *Balancer) sendPeerCounts() {
	list, bytes := b.splits[0].members, 0
	for from := 0; from < len(list) && len(list) <= math.MaxUint16; from += maxCountsPerMessage {
		b.message = appendCounts(b.message[:0], b.listFingerprint, from, list)
		if from+maxCountsPerMessage >= len(list) && len(b.message)+len(b.tenants) <= MaxPeerMessage {
			b.message = b.appendTaken(b.message)
		}
		bytes += len(b.message)
		if b.tellInterval <= peerTimeout/2 {
			b.do.Broadcast(b.message)
		}
	}
	b.forgetSilentPeers(b.now - peerTimeout)
	bytesPerSecond := b.peerBytesPerRequest() * max(b.rate, 1) / float64(max(1, b.s.Balancers-1))
	b.tellInterval = max(minPeerInterval, min(seconds(float64(bytes)/bytesPerSecond), peerTimeout))
	b.startTimer(b.jitter(2*b.tellInterval), 0, timerPeers)
}
