// Package logging creates the loggers of the service's processes.
package logging

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// New returns a logger that writes one line per entry. Entries of level 1 are
// written only if verbose is set.
func New(out io.Writer, node string, verbose bool) logr.Logger {
	var mutex sync.Mutex
	write := func(prefix, arguments string) {
		mutex.Lock()
		defer mutex.Unlock()
		fmt.Fprintln(out, prefix, arguments)
	}
	options := funcr.Options{LogTimestamp: true}
	if verbose {
		options.Verbosity = 1
	}
	return funcr.New(write, options).WithName(node)
}
