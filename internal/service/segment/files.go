// Package segment keeps records in a ring of preallocated files. Records are
// appended to one log, committed in groups with one sync each, and dropped by
// their owner; the oldest file is reused when its live records have been
// copied forward.
package segment

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
)

// Class is the class of errors that this package makes.
var Class = errs.Class("segment")

// Files is the folder that a log lives in. Tests replace it.
type Files interface {
	// List returns the names of the files in the folder.
	List() ([]string, error)
	// Open opens a file, or creates it when create is set.
	Open(name string, create bool) (File, error)
	// Sync makes the names of new files durable.
	Sync() error
}

// File is one open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error // contents and length
	Close() error
}

// Folder is a folder of the operating system.
type Folder struct{ Path string }

// List returns the names of the files in the folder, which it makes if needed.
func (f Folder) List() ([]string, error) {
	if err := os.MkdirAll(f.Path, 0o755); err != nil {
		return nil, Class.Wrap(err)
	}
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Open opens or creates a file.
func (f Folder) Open(name string, create bool) (File, error) {
	flags := os.O_RDWR
	if create {
		flags |= os.O_CREATE
	}
	file, err := os.OpenFile(filepath.Join(f.Path, name), flags, 0o644)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return osFile{file}, nil
}

// Sync syncs the folder and the one that it lies in.
func (f Folder) Sync() error {
	return errors.Join(syncFolder(f.Path), syncFolder(filepath.Dir(f.Path)))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return Class.Wrap(err)
	}
	err = folder.Sync()
	return Class.Wrap(errors.Join(err, folder.Close()))
}
