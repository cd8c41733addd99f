// Command standin2 plays the scripted cases of the second review: it holds small stand-ins of the
// platform's store, servers and clients, and starts the system's own processes.
//
//	standin2 CASE ROOT FOLDER
//
// ROOT is the repository, FOLDER the folder of the case, in which it writes record.txt. The exit code
// is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// cases are the scripted cases. Each reports whether the rule was broken.
var cases = map[string]func(*stage) (broken bool, err error){
	"reader":  playReader,
	"restore": playRestore,
	"foreign": playForeign,
	"part":    playPart,
	"target":  playTarget,
}

// stage is what all cases share.
type stage struct {
	root, dir string // of the repository and for temporary files
	net       string // first two numbers of the loopback addresses
	third     int    // the third number
	trouble   bool
	begun     time.Time
	hosts     []*host

	mu     sync.Mutex
	record *os.File
}

// logf writes a line to the record, with the time since the start.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns a loopback address of this run.
func (s *stage) ip(n int) string { return fmt.Sprintf("%s.%d.%d", s.net, s.third, n) }

// nextScene ends the hosts and lets what follows use other addresses.
func (s *stage) nextScene() {
	s.stopHosts()
	s.third++
}

// startHosts starts a host of one zone for each address of the store, and waits until they are ready.
func (s *stage) startHosts(stores []string) error {
	var seeds []string
	for i := range min(len(stores), 3) {
		seeds = append(seeds, s.ip(11+i)+":8229")
	}
	for i, store := range stores {
		h, err := startHost(s.root, s.dir, fmt.Sprintf("front-a-%d", i+1), "a", s.ip(11+i), store, seeds)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		s.logf("host %s starts at %s, process %d", h.name, h.ip, h.cmd.Process.Pid)
	}
	for _, h := range s.hosts {
		if !h.awaitReady(15 * time.Second) {
			return fmt.Errorf("host %s is not ready after 15 s", h.name)
		}
	}
	s.logf("all hosts are ready")
	return nil
}

func (s *stage) stopHosts() {
	for _, h := range s.hosts {
		h.stop()
	}
	s.hosts = nil
}

func main() {
	runtime.LockOSThread() // processes that this thread starts end with it
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	pid := os.Getpid()
	s := &stage{
		root: root, dir: dir, net: fmt.Sprintf("127.%d", 64+pid/240%128), third: 1 + pid%240, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: record,
	}
	defer s.stopHosts()
	s.logf("case %s, disruption: %t", name, s.trouble)
	broken, err := cases[name](s)
	switch {
	case err != nil:
		s.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		s.logf("the rule was BROKEN")
		fmt.Println("broken")
		return 1
	}
	s.logf("the rule held")
	fmt.Println("held")
	return 0
}
