package hollow

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/store"
	"yardwharf/internal/service/transport"
)

const (
	bodyBytes       = 1000 // of each message of the measurement
	appendsAtOnce   = 64
	storeDiskMb     = 512
	storeMemoryMb   = 4096
	storeStartMost  = 30 * time.Second
	storeRetryPause = 2 * time.Millisecond
)

// backlogCost is what messages take that wait at a store and at their owner.
type backlogCost struct {
	Messages    int
	BodyBytes   int
	DiskBytes   float64       // a message at one store
	StoreMemory float64       // a message in the index of one store
	OwnerMemory float64       // a message in its queue at the owner, without the body
	Appends     float64       // a second at one store on this machine, 64 at once
	Processor   time.Duration // an append, client and store together
	Rebuild     time.Duration // of the index, for one message
}

// measureBacklog fills a real store over loopback, and starts it again.
func measureBacklog(ctx context.Context, size Size) (backlogCost, error) {
	folder, err := os.MkdirTemp("", "hollow-store-")
	if err != nil {
		return backlogCost{}, Class.Wrap(err)
	}
	defer os.RemoveAll(folder)
	result := backlogCost{Messages: size.Messages, BodyBytes: bodyBytes, OwnerMemory: ownerMemory(size.Messages)}
	before := liveHeap()
	first, err := startStore(ctx, folder)
	if err != nil {
		return result, err
	}
	if err := result.fill(ctx, first); err != nil {
		first.stop()
		return result, err
	}
	result.StoreMemory = float64(liveHeap()-before) / float64(size.Messages)
	first.stop()
	result.DiskBytes = float64(folderBytes(folder)) / float64(size.Messages)
	began := processTime()
	second, err := startStore(ctx, folder)
	if err != nil {
		return result, err
	}
	defer second.stop()
	err = second.waitFor(ctx, messageID(size.Messages-1))
	result.Rebuild = (processTime() - began) / time.Duration(size.Messages)
	return result, err
}

// runningStore is a store in this process.
type runningStore struct {
	client *transport.Client
	stop   func()
}

func startStore(ctx context.Context, folder string) (*runningStore, error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	s := &settings.Settings{
		Node: "store-1", IP: "127.0.0.1", Zone: zoneName(0), DataDir: folder, Bootstrap: true,
		InternalPorts: []int{port - protocol.StorePort, port + 1},
		Limits:        settings.Limits{DiskMb: storeDiskMb, MemoryMb: storeMemoryMb},
		Bounds:        settings.Bounds{StatusS: 3600},
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx, s, logr.Discard()) }()
	client := transport.NewClient(dispatcherIdentity(0), s.Internal(protocol.StorePort))
	stop := func() {
		client.Close()
		cancel()
		<-ended
	}
	return &runningStore{client, stop}, nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, Class.Wrap(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func messageID(number int) string { return fmt.Sprintf("%032x", number) }

func messageHead(number int) protocol.Head {
	return protocol.Head{
		ID: messageID(number), Queue: localQueue(0), Epoch: 1, Sequence: uint64(number + 1), Method: "POST",
		Host: "host-01.example", Target: fmt.Sprintf("/path/0001/item/%08d", number), ContentType: "application/json",
		CallbackURL: "http://10.3.0.7:8090/receipts", Retention: time.Hour, State: protocol.Queued, BodySize: bodyBytes,
	}
}

// waitFor waits until the store answers that it holds a message.
func (r *runningStore) waitFor(ctx context.Context, id string) error {
	deadline := time.Now().Add(storeStartMost)
	for time.Now().Before(deadline) {
		reply, err := transport.Call[protocol.QueryReply](ctx, r.client, protocol.Query{ID: id})
		if err == nil && reply.Held {
			return nil
		}
		pause(ctx, storeRetryPause)
	}
	return Class.New("the store did not answer for message %s within %v", id, storeStartMost)
}

// fill appends messages, several at once.
func (c *backlogCost) fill(ctx context.Context, target *runningStore) error {
	if err := target.append(ctx, 0); err != nil {
		return err
	}
	var next, failed atomic.Int64
	began, processor := time.Now(), processTime()
	var workers sync.WaitGroup
	for range appendsAtOnce {
		workers.Go(func() {
			for number := int(next.Add(1)); number < c.Messages; number = int(next.Add(1)) {
				if target.append(ctx, number) != nil {
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	if count := failed.Load(); count > 0 {
		return Class.New("%d of %d messages were not stored", count, c.Messages)
	}
	c.Appends = float64(c.Messages) / time.Since(began).Seconds()
	c.Processor = (processTime() - processor) / time.Duration(c.Messages)
	return nil
}

// append stores one message; the first waits until the store serves.
func (r *runningStore) append(ctx context.Context, number int) error {
	request := protocol.Append{Message: protocol.Message{Head: messageHead(number), Body: make([]byte, bodyBytes)}}
	deadline := time.Now().Add(storeStartMost)
	for {
		reply, err := transport.Call[protocol.AppendReply](ctx, r.client, request)
		if err == nil && reply.Status == protocol.Fenced && time.Now().Before(deadline) {
			_, _ = transport.Call[protocol.RenewReply](ctx, r.client, protocol.Renew{Ready: true}) // the session is over
			continue
		}
		if err == nil && reply.Status != protocol.Stored {
			return Class.New("message %d was answered with status %d", number, reply.Status)
		}
		if err == nil || number > 0 || time.Now().After(deadline) {
			return err
		}
		pause(ctx, storeRetryPause)
	}
}

// folderBytes returns the bytes of the files' contents in use: segments are
// preallocated, so blocks that were never written are left out.
func folderBytes(folder string) int64 {
	var total int64
	_ = filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		total += writtenBytes(path)
		return nil
	})
	return total
}

// writtenBytes returns the size of a file up to its last byte that is not zero.
func writtenBytes(path string) int64 {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	return int64(len(strings.TrimRight(string(content), "\x00")))
}

// ownerMemory returns the bytes that a message takes in its queue at the owner,
// where its body is on disk only.
func ownerMemory(messages int) float64 {
	before := liveHeap()
	owned := queue.New(localQueue(0), 1)
	for number := range messages {
		head := messageHead(number)
		owned.Add(0, head, nil, []string{"store-1", "store-2"})
	}
	after := liveHeap()
	if owned.Open() != messages {
		panic("the queue does not hold the messages that were put in")
	}
	return float64(after-before) / float64(messages)
}
