package yard

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes down what was sent, answered and run, with the time since the start.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// Printf writes one line.
func (r *Record) Printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", r.Now().Seconds())
	fmt.Fprintf(r.out, format, arguments...)
	fmt.Fprintln(r.out)
}

// Sayf writes one line to the record and to the standard output.
func (r *Record) Sayf(format string, arguments ...any) {
	r.Printf(format, arguments...)
	fmt.Printf("%8.3f ", r.Now().Seconds())
	fmt.Printf(format, arguments...)
	fmt.Println()
}

func (r *Record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
