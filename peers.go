package yardwharf

import (
	"encoding/binary"
	"math"
	"time"
)

// A message between dispatchers tells how many slots the sender's jobs need at
// each worker: a fingerprint of its worker list (4 bytes), the place of the first
// worker told of (2 bytes), then four bits a worker in the order of ids. A
// receiver whose list differs skips it.
const (
	// TellMost is how many bytes a message to peers has at most: what a datagram of 256
	// leaves beside a host's frame.
	TellMost = 240

	countsHead = 6
	countsMost = 2 * (TellMost - countsHead) // workers in a message
	countTop   = 15
)

// fingerprint tells worker lists apart.
func fingerprint(list []*member) uint32 {
	h := uint32(2166136261)
	for _, m := range list {
		for id := uint64(m.w.id); id > 0; id >>= 8 {
			h = (h ^ uint32(id&0xff)) * 16777619
		}
	}
	return h
}

// appendCounts writes the message about list from place from on.
func appendCounts(buf []byte, print uint32, from int, list []*member) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, print)
	buf = binary.LittleEndian.AppendUint16(buf, uint16(from))
	for i := from; i < min(len(list), from+countsMost); i += 2 {
		v := byte(min(list[i].w.load, countTop))
		if i+1 < len(list) {
			v |= byte(min(list[i+1].w.load, countTop)) << 4
		}
		buf = append(buf, v)
	}
	return buf
}

// readCounts books what a peer has out at the workers of list.
func readCounts(data []byte, print uint32, peer int, list []*member) bool {
	if len(data) < countsHead || binary.LittleEndian.Uint32(data) != print {
		return false
	}
	from := int(binary.LittleEndian.Uint16(data[4:]))
	for i, v := range data[countsHead:] {
		for j, n := range [2]byte{v & countTop, v >> 4} {
			if at := from + 2*i + j; at < len(list) {
				list[at].w.book(peer, n)
			}
		}
	}
	return true
}

// book sets what a peer has out at a worker.
func (w *worker) book(peer int, n byte) {
	for len(w.peers) <= peer {
		w.peers = append(w.peers, 0)
	}
	w.others += int(n) - int(w.peers[peer])
	w.peers[peer] = n
}

// forget drops what peers told that were last heard before a time.
func (b *Balancer) forget(before time.Duration) {
	for peer, at := range b.heard {
		if at != 0 && at < before {
			for _, w := range b.workers {
				w.book(peer, 0)
			}
			b.heard[peer] = 0
			for i := range b.tenants {
				if peer < len(b.tenants[i].heard) {
					b.tenants[i].heard[peer] = false
				}
			}
		}
	}
}

const (
	peerCost  = 0.005                 // of a request's worth that messages to peers may cost
	peerMost  = 512.0                 // bytes delivered a request, whatever the price
	peerFull  = 256.0                 // bytes that the price is told for
	tellLeast = 20 * time.Millisecond // messages to peers are this far apart at least
	peerStale = time.Second           // a peer's counts are forgotten after this silence
)

// Peer takes a message from another dispatcher: what it has out at each worker. One that
// has two processes, as one takes over from the other, tells by the number of dispatchers
// higher from the one that leaves.
func (b *Balancer) Peer(now time.Duration, from int, data []byte) {
	b.now = now
	if from >= 0 && from < len(b.heard) && from != b.s.Me && readCounts(data, b.print, from, b.splits[0].m) {
		b.heard[from] = now
		if at := countsHead + (len(b.splits[0].m)-int(binary.LittleEndian.Uint16(data[4:]))+1)/2; at < len(data) {
			b.readTaken(data[at:], from)
		}
	}
}

// peerBytes is how many bytes of messages to peers are delivered for each request taken.
func (b *Balancer) peerBytes() float64 {
	if b.s.PeerPrice <= 0 {
		return peerMost
	}
	return min(peerMost, peerFull*peerCost/b.s.PeerPrice)
}

// tell sends the peers what is out at each worker, as often as the traffic pays
// for, and forgets what peers told that have fallen silent.
func (b *Balancer) tell() {
	list, bytes := b.splits[0].m, 0
	for from := 0; from < len(list) && len(list) <= math.MaxUint16; from += countsMost {
		b.message = appendCounts(b.message[:0], b.print, from, list)
		if from+countsMost >= len(list) && len(b.message)+len(b.tenants) <= TellMost {
			b.message = b.appendTaken(b.message)
		}
		bytes += len(b.message)
		if b.tellEvery <= peerStale/2 {
			b.do.Tell(b.message)
		}
	}
	b.forget(b.now - peerStale)
	pays := b.peerBytes() * max(b.rate, 1) / float64(max(1, b.s.Balancers-1))
	b.tellEvery = max(tellLeast, min(seconds(float64(bytes)/pays), peerStale))
	b.after(b.jitter(2*b.tellEvery), 0, timerTell)
}
