package dispatcher

import (
	"context"
	"errors"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

const (
	endFlushDelay       = 20 * time.Millisecond
	maxEndsPerBatch     = 256
	endBatchTimeout     = 2 * time.Second
	refusedEndRetry     = 2 * time.Second // until an end that a store has refused is sent to it again
	maxRefusedPerWakeUp = 16              // refused batches after which sending pauses until the next renewal
	maxReportedAside    = 10              // ends set aside at a store, beyond which further ones are not logged
)

// endBatches decides which of the ends and failure counts that are pending for a store it is sent next. Ends that the store
// refuses are set aside for a while, and all others go on. A store of an earlier build refuses a whole batch because of
// one end: the batches become smaller then, until that end is alone.
type endBatches struct {
	halvings int                 // of the size of a batch
	setAside map[string]asideEnd // by message ID
}

// asideEnd is an end that a store has refused.
type asideEnd struct {
	retryAt time.Duration // when it is sent again
	alone   bool          // it goes alone, because the store refuses all that is sent with it
}

// next returns the batch to send. It is empty if nothing may be sent now. Ends that go alone come last, so that they never
// hold up the others.
func (b *endBatches) next(now time.Duration, ends map[string]protocol.End, failures map[string]int) protocol.EndBatch {
	batch := b.ordinary(now, ends, failures)
	if len(batch.Ends)+len(batch.Failures) > 0 {
		return batch
	}
	for id, aside := range b.setAside {
		end, pending := ends[id]
		switch {
		case !pending:
			delete(b.setAside, id)
		case aside.alone && aside.retryAt <= now:
			return protocol.EndBatch{Ends: []protocol.End{end}}
		}
	}
	return protocol.EndBatch{}
}

// ordinary returns the next batch of ends that do not go alone, and of failure counts.
func (b *endBatches) ordinary(now time.Duration, ends map[string]protocol.End, failures map[string]int) protocol.EndBatch {
	size := max(1, maxEndsPerBatch>>b.halvings)
	var batch protocol.EndBatch
	bytes := 0
	for id, end := range ends {
		if len(batch.Ends) >= size || bytes > attemptBatchBytes {
			break
		}
		if aside, refused := b.setAside[id]; refused && (aside.alone || aside.retryAt > now) {
			continue
		}
		batch.Ends = append(batch.Ends, end)
		bytes += (&protocol.Outcome{End: end}).MaxEncodedBytes()
	}
	if b.halvings > 0 && len(batch.Ends) > 0 {
		return batch
	}
	for id, count := range failures {
		if len(batch.Failures) >= size {
			break
		}
		batch.Failures = append(batch.Failures, protocol.Failures{ID: id, Count: count})
	}
	return batch
}

// waits reports whether an end is set aside.
func (b *endBatches) waits(id string) bool {
	_, aside := b.setAside[id]
	return aside
}

// accepted records that the store has processed a batch.
func (b *endBatches) accepted() { b.halvings = max(0, b.halvings-1) }

// recorded records that the store has recorded an end.
func (b *endBatches) recorded(id string) { delete(b.setAside, id) }

// refused records that the store has refused an end of a batch. It reports whether to log that: for the first time, and
// while few ends are set aside.
func (b *endBatches) refused(now time.Duration, id string) bool {
	return b.setEndAside(id, asideEnd{retryAt: now + refusedEndRetry})
}

// batchRefused records that the store has refused a whole batch. It reports whether to log that of an end that was alone
// in it.
func (b *endBatches) batchRefused(now time.Duration, batch protocol.EndBatch) bool {
	if len(batch.Ends)+len(batch.Failures) > 1 {
		b.halvings++
		return false
	}
	return len(batch.Ends) == 1 && b.setEndAside(batch.Ends[0].ID, asideEnd{retryAt: now + refusedEndRetry, alone: true})
}

func (b *endBatches) setEndAside(id string, aside asideEnd) bool {
	if b.setAside == nil {
		b.setAside = map[string]asideEnd{}
	}
	report := !b.waits(id) && len(b.setAside) < maxReportedAside
	b.setAside[id] = aside
	return report
}

// sendResult is the result of sending one batch.
type sendResult uint8

const (
	nothingSent sendResult = iota // nothing is pending, or the store does not answer
	batchTaken
	batchRefused
)

// sendEnds sends pending ends and failure counts to a store, in batches.
func (d *Dispatcher) sendEnds(ctx context.Context, link *storeLink) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.sendEndsNow:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(endFlushDelay):
		}
		for refused := 0; refused < maxRefusedPerWakeUp; {
			result := d.sendEndBatch(ctx, link)
			if result == nothingSent {
				break
			}
			if result == batchRefused {
				refused++
			}
		}
	}
}

// sendEndBatch sends one batch.
func (d *Dispatcher) sendEndBatch(ctx context.Context, link *storeLink) sendResult {
	d.mutex.Lock()
	batch := link.endBatches.next(d.now(), link.pendingEnds, link.pendingFailures)
	up, storeID := link.up, link.storeID
	if !up || len(batch.Ends)+len(batch.Failures) == 0 {
		d.mutex.Unlock()
		return nothingSent
	}
	link.endsSentAt = d.now()
	d.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, endBatchTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.EndBatchReply](callCtx, link.client, batch)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	link.endsSentAt = 0
	if err != nil {
		return d.endBatchFailed(link, batch, err)
	}
	link.endBatches.accepted()
	if link.storeID == storeID && reply.StoreID == storeID {
		d.endBatchRecorded(link, batch, reply.Refused)
	}
	return batchTaken
}

// endBatchFailed handles a batch that a store has refused or not answered. The mutex is held.
func (d *Dispatcher) endBatchFailed(link *storeLink, batch protocol.EndBatch, cause error) sendResult {
	result := nothingSent
	var refusal *transport.RemoteError
	if errors.As(cause, &refusal) {
		result = batchRefused
		if link.endBatches.batchRefused(d.now(), batch) {
			d.logRefusedEnd(link, batch.Ends[0].ID, refusal.Text)
		}
	}
	d.recordEndsElsewhere(link, batch.Ends)
	return result
}

// endBatchRecorded applies a store's reply to a batch. The mutex is held.
func (d *Dispatcher) endBatchRecorded(link *storeLink, batch protocol.EndBatch, refused []protocol.RefusedEnd) {
	causes := map[string]string{}
	for _, end := range refused {
		causes[end.ID] = end.Cause
	}
	var unkept []protocol.End
	for _, end := range batch.Ends {
		if cause := causes[end.ID]; cause != "" {
			unkept = append(unkept, end)
			if link.endBatches.refused(d.now(), end.ID) {
				d.logRefusedEnd(link, end.ID, cause)
			}
			continue
		}
		link.endBatches.recorded(end.ID)
		if link.pendingEnds[end.ID] == end {
			delete(link.pendingEnds, end.ID)
		}
		d.markEndRecorded(link, end, refused)
	}
	d.handleRefusedEnds(link, refused)
	d.recordEndsElsewhere(link, unkept)
	for _, failed := range batch.Failures {
		if link.pendingFailures[failed.ID] == failed.Count {
			delete(link.pendingFailures, failed.ID)
		}
	}
}

func (d *Dispatcher) logRefusedEnd(link *storeLink, id, cause string) {
	d.log.Info("store refused an end", "store", link.node, "message", id, "cause", cause)
}

// awaitsEnd reports whether a store is to record an end and has not refused it.
func (l *storeLink) awaitsEnd(id string) bool {
	_, pending := l.pendingEnds[id]
	return pending && !l.endBatches.waits(id)
}

// allEndsRecorded reports whether all stores that are up have recorded all ends that they do not refuse.
func (d *Dispatcher) allEndsRecorded() bool {
	for _, link := range d.stores {
		if !link.up {
			continue
		}
		if len(link.pendingFailures) > 0 {
			return false
		}
		for id := range link.pendingEnds {
			if link.awaitsEnd(id) {
				return false
			}
		}
	}
	return true
}

// queueEndsRecorded reports whether the stores that respond have recorded all ends of one queue that they do not refuse.
// Ends of other queues, of which there are always new ones, must not delay its release. The mutex is held.
func (d *Dispatcher) queueEndsRecorded(name string) bool {
	for _, link := range d.stores {
		if !link.expectedToRecordEnds(d.now()) {
			continue
		}
		for id, end := range link.pendingEnds {
			if end.Queue == name && link.awaitsEnd(id) {
				return false
			}
		}
	}
	return true
}
