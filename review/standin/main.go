// Command standin plays the scripted cases of the review: it starts entry hosts as processes,
// with stand-ins of the platform's store, servers and clients around them, and judges what these
// have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cleanup is run before each exit.
var cleanup []func()

func exit(code int) {
	for _, f := range cleanup {
		f()
	}
	os.Exit(code)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "standin: "+format+"\n", args...)
	exit(exitFailed)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// recorder writes record.txt with the time since the start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// seconds returns a time as seconds since the start of the case.
func (r *recorder) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

var cases = map[string]func(work string, log *recorder, trouble bool) bool{
	"gone":  lostServers,
	"old":   lostOldServers,
	"split": splitOutcome,
	"herd":  lostEvidence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: standin CASE FOLDER")
	}
	dir := os.Args[2]
	work, err := os.MkdirTemp("", "review-")
	check(err)
	if os.Getenv("KEEP") == "" {
		cleanup = append(cleanup, func() { os.RemoveAll(work) })
	}
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fail("stopped by a signal")
	}()
	log := &recorder{file: f, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	log.logf("case %s, trouble %t, logs in %s", os.Args[1], trouble, work)
	if cases[os.Args[1]](work, log, trouble) {
		log.logf("the rule was broken")
		exit(exitBroken)
	}
	log.logf("the rule held")
	exit(exitHeld)
}
