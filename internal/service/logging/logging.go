// Package logging makes the loggers of the service's processes.
package logging

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// New returns a logger that writes a line for each entry.
func New(out io.Writer, node string) logr.Logger {
	var mutex sync.Mutex
	write := func(prefix, arguments string) {
		mutex.Lock()
		defer mutex.Unlock()
		fmt.Fprintln(out, prefix, arguments)
	}
	return funcr.New(write, funcr.Options{LogTimestamp: true}).WithName(node)
}
