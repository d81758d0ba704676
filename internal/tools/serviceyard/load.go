package serviceyard

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Load is how many messages of each kind are sent.
type Load struct {
	Plain   int
	Delayed int
	Rated   int
	Keys    int // ordering keys
	PerKey  int
	Every   time.Duration // between two messages of a kind
}

const (
	delay     = 1500 * time.Millisecond
	failEvery = 10 // of the plain messages, one in so many fails at its first run
)

// Total returns how many messages are sent.
func (l Load) Total() int { return l.Plain + l.Delayed + l.Rated + l.Keys*l.PerKey }

// Send sends a load, all kinds side by side and the messages of a key one after
// the other, and returns when each has been answered.
func (y *Yard) Send(ctx context.Context, client *Client, l Load) {
	var kinds sync.WaitGroup
	url := y.Receiver.URL()
	kinds.Go(func() {
		sendEach(ctx, client, l.Plain, l.Every, func(i int) Message {
			id := fmt.Sprintf("plain-%d", i)
			if i%failEvery == 0 {
				y.Ledger.FailOnce(id)
			}
			return Message{ID: id, Path: PlainPath, Callback: url}
		})
	})
	kinds.Go(func() {
		sendEach(ctx, client, l.Delayed, l.Every, func(i int) Message {
			return Message{ID: fmt.Sprintf("delayed-%d", i), Path: PlainPath, Delay: delay}
		})
	})
	kinds.Go(func() {
		sendEach(ctx, client, l.Rated, l.Every, func(i int) Message {
			return Message{ID: fmt.Sprintf("rated-%d", i), Path: RatedPath}
		})
	})
	for key := range l.Keys {
		kinds.Go(func() {
			sendEach(ctx, client, l.PerKey, l.Every, func(i int) Message {
				return Message{
					ID: fmt.Sprintf("ordered-%d-%d", key, i), Path: OrderedPath,
					Key: fmt.Sprintf("key-%d", key), Callback: url,
				}
			})
		})
	}
	kinds.Wait()
}

// sendEach sends messages one after the other, paced.
func sendEach(ctx context.Context, client *Client, count int, every time.Duration, make func(int) Message) {
	if count == 0 {
		return
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := range count {
		if client.Send(ctx, make(i)) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
