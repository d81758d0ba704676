package distribution

import (
	"context"
	"encoding/binary"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"yardwharf/internal/service/transport"
)

// vectorDigest returns a hash of a vector that does not depend on the order of topics; an
// empty vector has 0.
func vectorDigest(vector map[string]Version) uint64 {
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

// Shorten reduces a request's vector to the changes since an earlier one that the source has replied to.
func (p *Pull) Shorten(acknowledged map[string]Version) {
	if len(acknowledged) == 0 {
		return
	}
	changed := map[string]Version{}
	for name, version := range p.Vector {
		if acknowledged[name] != version {
			changed[name] = version
		}
	}
	for name := range acknowledged {
		if _, have := p.Vector[name]; !have {
			return
		}
	}
	p.Base, p.Vector = vectorDigest(acknowledged), changed
}

// connectionVectors holds the last vector of each connection, so that a request needs to carry only the changes.
type connectionVectors struct {
	mutex  sync.Mutex
	byPeer map[*transport.Peer]map[string]Version
}

func newConnectionVectors() *connectionVectors {
	return &connectionVectors{byPeer: map[*transport.Peer]map[string]Version{}}
}

// restoreVector sets a request's vector to the full one and stores it until the connection ends. It reports false
// if the base vector of the request is not known.
func (t *connectionVectors) restoreVector(ctx context.Context, peer *transport.Peer, request *Pull) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	last, some := t.byPeer[peer]
	if request.Base != 0 {
		if vectorDigest(last) != request.Base {
			return false
		}
		whole := maps.Clone(last)
		maps.Copy(whole, request.Vector)
		request.Vector = whole
	}
	if !some {
		context.AfterFunc(ctx, func() { t.remove(peer) })
	}
	t.byPeer[peer] = request.Vector
	return true
}

func (t *connectionVectors) remove(peer *transport.Peer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.byPeer, peer)
}
