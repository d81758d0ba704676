package settings

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

// CheckInterval is the usual time between checks of the file, which may change
// without a signal.
const CheckInterval = 5 * time.Second

// Watch reloads the settings file of this process on SIGHUP and when it has changed
// since the settings were loaded, and passes new settings to reload, until the
// context ends. An invalid file is logged in one line and otherwise ignored.
func (s *Settings) Watch(ctx context.Context, checkInterval time.Duration, reload func(*Settings), log logr.Logger) {
	path, err := Path()
	if err != nil {
		return
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last := s.modifiedAt
	for hangupReceived := false; ; {
		// Checks once at the start: a SIGHUP sent before signal.Notify was not seen.
		if changed := modificationTime(path); hangupReceived || !changed.Equal(last) {
			last = changed
			Reload(path, reload, log)
		}
		hangupReceived = false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			hangupReceived = true
		case <-ticker.C:
		}
	}
}

// Reload loads a settings file once and passes the settings to reload if they are valid.
func Reload(path string, reload func(*Settings), log logr.Logger) {
	loaded, err := Load(path)
	if err != nil {
		log.Info("new settings are faulty; the old ones stay", "cause", strings.ReplaceAll(err.Error(), "\n", "; "))
		return
	}
	reload(loaded)
	log.Info("settings loaded again")
}

// modificationTime returns a file's modification time, or zero if it cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
