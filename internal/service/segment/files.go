// Package segment implements a log of records in a ring of preallocated files.
// Records are committed and synced in groups, and stay live until their owner
// drops them. The oldest file is reused once its live records have been copied
// to the end of the log.
package segment

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("segment")

// Files gives access to the folder of a log. Tests substitute a simulated disk.
type Files interface {
	// List returns the names of the files in the folder.
	List() ([]string, error)
	// Open opens a file, or creates it when create is set.
	Open(name string, create bool) (File, error)
	// Sync makes the directory entries of new files durable.
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

// List returns the names of the files in the folder, which it creates if needed.
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

// Sync syncs the folder and its parent.
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
