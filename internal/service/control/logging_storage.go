package control

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/register"
	"yardwharf/internal/service/segment"
)

// diskFullRetryInterval is the delay between two attempts to start on a full disk.
const diskFullRetryInterval = 500 * time.Millisecond

// retryWhileDiskFull calls open, and retries while the disk is full, until the context ends. It
// returns any other error at once.
func retryWhileDiskFull(ctx context.Context, log logr.Logger, open func() error) error {
	for full := false; ; {
		err := open()
		if !segment.NoSpace(err) {
			return err
		}
		if !full {
			full = true
			log.Info("disk is full, waiting for free space", "cause", err.Error())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(diskFullRetryInterval):
		}
	}
}

// loggingStorage wraps a storage and logs when saves start to fail and when they succeed again.
// A member that cannot save its state does not vote, but still serves reads.
type loggingStorage struct {
	storage register.Storage
	log     logr.Logger
	failing bool
}

func newLoggingStorage(storage register.Storage, log logr.Logger) *loggingStorage {
	return &loggingStorage{storage: storage, log: log}
}

// Save saves a state. It must not be called concurrently.
func (w *loggingStorage) Save(state register.State) error {
	err := w.storage.Save(state)
	switch failing := err != nil; {
	case failing == w.failing:
	case failing:
		w.log.Info("state cannot be saved, the member does not vote", "cause", err.Error())
	default:
		w.log.Info("state can be saved again")
	}
	w.failing = err != nil
	return err
}
