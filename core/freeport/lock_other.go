//go:build !unix

package freeport

import "os"

// tryLock always succeeds: on this platform the blocks of processes are only drawn at random.
func tryLock(*os.File) bool { return true }
