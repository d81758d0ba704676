// Package logging makes the loggers of the service's processes.
package logging

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// New returns a logger that writes a line for each entry; those of level 1 only
// where it is verbose.
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
