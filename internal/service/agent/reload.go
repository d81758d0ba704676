package agent

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/settings"
)

const settingsEvery = time.Second // between two looks at the file

// watchSettings loads the settings file again after a SIGHUP and when it has
// changed. A file that is faulty changes nothing.
func watchSettings(ctx context.Context, reload func(*settings.Settings), log logr.Logger) {
	path, err := settings.Path()
	if err != nil {
		return
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		loaded, err := settings.Load(path)
		if err != nil {
			log.Info("new settings are faulty; the old ones stay", "cause", err.Error())
			continue
		}
		reload(loaded)
		log.Info("settings loaded again")
	}
}

// modified returns when a file was changed last; zero where it cannot be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
