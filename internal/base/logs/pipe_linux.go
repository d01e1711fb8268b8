package logs

import (
	"os"

	"golang.org/x/sys/unix"
)

// GrowPipe enlarges the buffer of the pipe f to n bytes, unless it is larger. It does
// nothing if f is not a pipe or the user's limit does not allow it. The lines in a pipe
// outlive the process that wrote them, those in the queue of an AsyncWriter don't.
func GrowPipe(f *os.File, n int) {
	if size, err := unix.FcntlInt(f.Fd(), unix.F_GETPIPE_SZ, 0); err == nil && size < n {
		_, _ = unix.FcntlInt(f.Fd(), unix.F_SETPIPE_SZ, n)
	}
}
