package distribution

import (
	"context"
	"encoding/binary"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"yardwharf/internal/service/transport"
)

// digestOf returns a number that tells vectors apart; 0 is that of none.
func digestOf(vector map[string]Version) uint64 {
	sum := uint64(len(vector))
	for name, version := range vector {
		var content [16]byte
		binary.BigEndian.PutUint64(content[:8], version.Epoch)
		binary.BigEndian.PutUint64(content[8:], version.Counter)
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.WriteString(name)
		_, _ = digest.Write(content[:])
		sum += digest.Sum64()
	}
	return sum
}

// Shorten leaves out of a request's vector what the source knows from an earlier one, which it has answered.
func (p *Pull) Shorten(told map[string]Version) {
	if len(told) == 0 {
		return
	}
	changed := map[string]Version{}
	for name, version := range p.Vector {
		if told[name] != version {
			changed[name] = version
		}
	}
	for name := range told {
		if _, have := p.Vector[name]; !have {
			return
		}
	}
	p.Base, p.Vector = digestOf(told), changed
}

// toldVectors holds the last vector of each connection, so that a request needs to name only what has changed.
type toldVectors struct {
	mutex  sync.Mutex
	byPeer map[*transport.Peer]map[string]Version
}

func newToldVectors() *toldVectors {
	return &toldVectors{byPeer: map[*transport.Peer]map[string]Version{}}
}

// complete gives a request its whole vector and remembers it until the connection ends. It reports false where
// the vector that the request starts from is not known.
func (t *toldVectors) complete(ctx context.Context, peer *transport.Peer, request *Pull) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	last, some := t.byPeer[peer]
	if request.Base != 0 {
		if digestOf(last) != request.Base {
			return false
		}
		whole := maps.Clone(last)
		maps.Copy(whole, request.Vector)
		request.Vector = whole
	}
	if !some {
		context.AfterFunc(ctx, func() { t.forget(peer) })
	}
	t.byPeer[peer] = request.Vector
	return true
}

func (t *toldVectors) forget(peer *transport.Peer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.byPeer, peer)
}
