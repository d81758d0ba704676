package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/segment/segmenttest"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/store"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/simulation/simnet"
)

const (
	longHeads       = 1500 // together over one frame
	longTargetBytes = 8000
)

// runRealStore runs the store role on the address of a scripted store and returns a client of it.
func runRealStore(c *qt.C, network *simnet.Network, caller protocol.Identity) (client *transport.Client, stop func()) {
	machine, disk := network.Process(storeIP(0)), segmenttest.NewDisk()
	s := &settings.Settings{
		Node: "storage-1", Zone: "storage-1", IP: storeIP(0), InternalPorts: []int{7780, 7795}, Bootstrap: true, DataDir: "/data",
		Limits: settings.Limits{MemoryMb: 256, DiskMb: 256}, Bounds: settings.Bounds{StatusS: 120, CatchUpS: 4.5},
		Network: machine, OpenFolder: func(string) segment.Files { return disk },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx, s, logr.Discard()) }()
	client = transport.NewClientOn(network.Process("10.1.0.9"), caller, s.Internal(protocol.StorePort))
	time.Sleep(time.Second)
	return client, func() {
		client.Close()
		cancel()
		c.Check(<-ended, qt.IsNil)
		machine.Kill()
	}
}

// appendLongHeads has a dispatcher that ends afterwards accept messages with long targets and call-back URLs.
func appendLongHeads(c *qt.C, client *transport.Client, queue string) {
	for i := range longHeads {
		if i%100 == 0 {
			_, err := transport.Call[protocol.RenewReply](context.Background(), client, protocol.Renew{Ready: true})
			c.Check(err, qt.IsNil)
		}
		head := protocol.Head{
			ID: fmt.Sprintf("m-%d", i), Queue: queue, Epoch: 1, Sequence: uint64(i + 1), Method: "POST", Host: "a.example",
			Target: "/a/" + strings.Repeat("t", longTargetBytes), Retention: time.Hour, CallbackURL: "http://10.9.0.1/" + strings.Repeat("u", longTargetBytes),
		}
		reply, err := transport.Call[protocol.AppendReply](context.Background(), client, protocol.Append{Message: protocol.Message{Head: head}})
		c.Check(err, qt.IsNil)
		c.Check(reply.Status, qt.Equals, protocol.Stored)
	}
}

// LOST: a queue whose heads do not fit into one frame must find a new owner, with all its messages.
func TestQueueWithMoreHeadsThanOneFrameIsAcquired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := simnet.New(func(_, _ string) time.Duration { return time.Millisecond })
		previous := protocol.Identity{Node: "edge-2", Role: Role, Zone: "z", Incarnation: 1}
		client, stopStore := runRealStore(c, network, previous)
		appendLongHeads(c, client, "ordered/1")
		client.Close()
		time.Sleep(5 * time.Second) // the session of the previous owner ends
		d, end := newSimulatedDispatcher(network)
		time.Sleep(2 * time.Second)
		d.mutex.Lock()
		d.stores["storage-1"].completeDisk = d.stores["storage-1"].storeID
		d.mutex.Unlock()
		d.acquire(t.Context(), []string{"ordered/1"})
		d.mutex.Lock()
		owned := d.queues["ordered/1"]
		if c.Check(owned, qt.IsNotNil) {
			c.Check(owned.Open(), qt.Equals, longHeads)
		}
		d.mutex.Unlock()
		end()
		stopStore()
	})
}
