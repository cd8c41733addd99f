//go:build unix

package freeport

import (
	"os"
	"syscall"
)

// tryLock locks a file until it is closed or the process ends, and reports whether it succeeded.
func tryLock(f *os.File) bool {
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
}
