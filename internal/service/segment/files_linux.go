package segment

import (
	"os"

	"golang.org/x/sys/unix"
)

// osFile is a file of the operating system.
type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, Class.Wrap(err)
	}
	return info.Size(), nil
}

// Sync uses fdatasync, which covers the contents and the length.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return Class.Wrap(err)
		}
	}
}
