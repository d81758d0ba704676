package distribution

import (
	"context"
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yardwharf/internal/service/transport"
)

// Whatever changes between requests, the source knows the caller's whole vector, or says that it does not.
func TestShortenedVectorsAreCompleted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told, peer := newToldVectors(), &transport.Peer{}
		ctx, end := context.WithCancel(context.Background())
		defer end()
		held := map[string]Version{}
		var last map[string]Version
		for range rapid.IntRange(1, 10).Draw(t, "requests") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "topic"))
				if rapid.Bool().Draw(t, "removed") {
					delete(held, name)
				} else {
					held[name] = Version{1, rapid.Uint64().Draw(t, "counter")}
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				told = newToldVectors()
			}
			request := Pull{Vector: maps.Clone(held)}
			request.Shorten(last)
			if request.Base != 0 && len(request.Vector) == len(held) && len(held) > 0 && maps.Equal(last, held) {
				t.Fatalf("nothing was left out of %v", held)
			}
			if !told.complete(ctx, peer, &request) {
				if request.Base == 0 {
					t.Fatalf("a whole vector was not taken")
				}
				last = nil
				continue
			}
			if !maps.Equal(request.Vector, held) {
				t.Fatalf("%v was completed to %v", held, request.Vector)
			}
			last = maps.Clone(held)
		}
	})
}

func TestVectorsAreForgottenWithTheirConnection(t *testing.T) {
	c := qt.New(t)
	told, peer := newToldVectors(), &transport.Peer{}
	ctx, end := context.WithCancel(context.Background())
	vector := map[string]Version{"a": {1, 1}}
	c.Assert(told.complete(ctx, peer, &Pull{Vector: vector}), qt.IsTrue)
	c.Assert(told.complete(ctx, peer, &Pull{Base: digestOf(vector) + 1}), qt.IsFalse)
	end()
	for told.count() > 0 {
	}
	c.Assert(told.complete(context.Background(), peer, &Pull{Base: digestOf(vector)}), qt.IsFalse)
}

func (t *toldVectors) count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.byPeer)
}
