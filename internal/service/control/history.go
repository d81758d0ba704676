package control

import (
	"context"
	"time"

	"yardwharf/internal/service/register"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/wirename"
)

const (
	historyTimeout  = 2 * time.Second
	historyInterval = time.Second // between two updates of the history
)

// historyRequest asks a member for its history of changes.
type historyRequest struct{}

// historyReply answers historyRequest.
type historyReply struct {
	Since   int64          // the entries are all changes after this revision
	Start   register.Chain // the chain up to Since
	Entries []register.Entry
}

func init() {
	wirename.Register("h", historyRequest{}, historyReply{})
}

// registerHistory registers the handler of historyRequest with a server.
func (r *replica) registerHistory(server *transport.Server) {
	transport.Handle(server, func(context.Context, *transport.Peer, historyRequest) (historyReply, error) {
		return r.history.snapshot(), nil
	})
}

// maintainHistory keeps the history up to date until the context ends, then closes it.
func (r *replica) maintainHistory(ctx context.Context) {
	for ctx.Err() == nil {
		if known := r.known(); known.Value != nil {
			r.updateHistory(ctx, known.Value)
		}
		select {
		case <-ctx.Done():
		case <-time.After(historyInterval):
		}
	}
	r.history.close()
}

// updateHistory brings the history up to a decided value, from the value itself or from
// the first member that has the missing changes. If all members respond and none has
// them, the history is reset to the changes that the value contains.
func (r *replica) updateHistory(parent context.Context, value *register.Value) {
	if r.history.extendTo(value) {
		return
	}
	responses, others := 0, 0
	for _, address := range value.Voters() {
		if address == r.identity.Address {
			continue
		}
		others++
		ctx, cancel := context.WithTimeout(parent, historyTimeout)
		response, err := r.peers.call(ctx, address, historyRequest{})
		cancel()
		reply, ok := response.(historyReply)
		if err != nil || !ok {
			continue
		}
		responses++
		if r.history.replaceWith(reply, value) {
			r.log.Info("history read from another member", "member", address, "changes", len(reply.Entries))
			return
		}
	}
	if responses == others && r.known().Value.Equal(value) {
		r.log.Info("history reset to the latest changes", "revision", value.Revision)
		r.history.resetTo(value)
	}
}

// lookUpOutcome looks up the outcome of a change that is too old for the register's value.
func (r *replica) lookUpOutcome(ctx context.Context, decided *register.Value, revision int64, raw []byte) register.Outcome {
	r.updateHistory(ctx, decided)
	return r.history.lookUp(revision, register.Digest(raw))
}
