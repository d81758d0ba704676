// Package storeclient makes requests to stores whose replies come in pages.
package storeclient

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

// Class is the class of this package's errors.
var Class = errs.Class("storeclient")

var (
	errDiskReplaced = Class.New("the disk of the store was replaced between two pages")
	errNoProgress   = Class.New("a page covers nothing")
)

// maxIDsPerRequest bounds the IDs in one FindEnds request.
const maxIDsPerRequest = 10_000

// Acquire requests leases and reads all heads of the queues that the store grants. Each page may take the timeout. If
// it fails, the store may have granted the leases all the same.
func Acquire(ctx context.Context, client *transport.Client, request protocol.Acquire, timeout time.Duration) (protocol.AcquireReply, error) {
	request.Paged = true
	reply, err := call[protocol.AcquireReply](ctx, client, request, timeout)
	if err != nil {
		return protocol.AcquireReply{}, err
	}
	for i := range reply.Grants {
		if err := readHeads(ctx, client, &reply, i, request.Epoch, timeout); err != nil {
			return protocol.AcquireReply{}, err
		}
		grant := &reply.Grants[i]
		if !grant.MoreAttempts {
			continue
		}
		further, err := readAttempts(ctx, client, protocol.ReadAttempts{Queue: grant.Queue, After: grant.NextAttempt}, reply.StoreID, timeout)
		if err != nil {
			return protocol.AcquireReply{}, err
		}
		grant.Attempts, grant.MoreAttempts = append(grant.Attempts, further...), false
	}
	return reply, nil
}

// readHeads adds the heads that a grant left out.
func readHeads(ctx context.Context, client *transport.Client, reply *protocol.AcquireReply, index int, epoch uint64, timeout time.Duration) error {
	grant := &reply.Grants[index]
	if !grant.More {
		return nil
	}
	for grant.More {
		request := protocol.ReadHeads{Queue: grant.Queue, Epoch: epoch, From: grant.Next}
		page, err := call[protocol.ReadHeadsReply](ctx, client, request, timeout)
		switch {
		case err != nil:
			return err
		case page.StoreID != reply.StoreID:
			return errDiskReplaced
		case page.More && page.Next == grant.Next:
			return errNoProgress
		}
		grant.Heads = append(grant.Heads, page.Heads...)
		grant.More, grant.Next = page.More, page.Next
	}
	grant.Heads = lastOfEach(grant.Heads)
	return nil
}

// lastOfEach keeps the last head of each message: one that ends between two pages is listed as open and as ended.
func lastOfEach(heads []protocol.Head) []protocol.Head {
	last := make(map[string]int, len(heads))
	for i := range heads {
		last[heads[i].ID] = i
	}
	if len(last) == len(heads) {
		return heads
	}
	kept := heads[:0]
	for i := range heads {
		if last[heads[i].ID] == i {
			kept = append(kept, heads[i])
		}
	}
	return slices.Clip(kept)
}

// ReadAttempts returns the attempts that previous owners of a queue have left unsettled at a store with the given disk.
// Each page may take the timeout.
func ReadAttempts(ctx context.Context, client *transport.Client, queue, storeID string, timeout time.Duration) ([]protocol.Attempt, error) {
	return readAttempts(ctx, client, protocol.ReadAttempts{Queue: queue}, storeID, timeout)
}

func readAttempts(ctx context.Context, client *transport.Client, request protocol.ReadAttempts, storeID string, timeout time.Duration) ([]protocol.Attempt, error) {
	var attempts []protocol.Attempt
	for {
		page, err := call[protocol.ReadAttemptsReply](ctx, client, request, timeout)
		switch {
		case err != nil:
			return nil, err
		case page.StoreID != storeID:
			return nil, errDiskReplaced
		case page.More && page.Next <= request.After:
			return nil, errNoProgress
		}
		attempts = append(attempts, page.Attempts...)
		if !page.More {
			return attempts, nil
		}
		request.After = page.Next
	}
}

// FindEnds returns the heads of those of the given messages that the store knows to have ended. Each page may take the
// timeout.
func FindEnds(ctx context.Context, client *transport.Client, ids []string, timeout time.Duration) ([]protocol.Head, error) {
	var heads []protocol.Head
	for len(ids) > 0 {
		request := protocol.FindEnds{IDs: ids[:min(maxIDsPerRequest, len(ids))], Paged: true}
		reply, err := call[protocol.FindEndsReply](ctx, client, request, timeout)
		if err != nil {
			return nil, err
		}
		covered := reply.Covered
		if covered <= 0 || covered > len(request.IDs) {
			covered = len(request.IDs)
		}
		heads = append(heads, reply.Heads...)
		ids = ids[covered:]
	}
	return heads, nil
}

// call makes one call with a timeout.
func call[Reply any](ctx context.Context, client *transport.Client, request any, timeout time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return transport.Call[Reply](ctx, client, request)
}
