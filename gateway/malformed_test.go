package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/slotengine"
)

// count returns how often s stands in the log.
func (l *logBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), s)
}

// Guards against a host that ends, stops following the store or floods its log because of odd
// entries of another writer, written again and again beside sound ones.
func TestOddEntriesDoNotStopTheHost(t *testing.T) {
	fx := newFixture(t)
	first := fx.addServer(plainName, slotengine.Config{})
	replaced := fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	sound := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"","slots":2,"state":"ready","coldLeftMs":0,"born":1}`, plainName, first.Address())
	values := []string{
		"", "null", "[]", "7", `"text"`, "\x00\xff\xfe", `{"service":`, "{}", sound[:len(sound)-2],
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000), strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
		strings.Replace(sound, `"slots":2`, `"slots":1e400`, 1), strings.Replace(sound, `"slots":2`, `"slots":99999999999999999999`, 1),
		strings.Replace(sound, `"coldLeftMs":0`, `"coldLeftMs":-1e400`, 1), strings.Replace(sound, `"born":1`, `"born":1e30`, 1),
		strings.Replace(sound, first.Address(), "127.0.0.1:99999", 1), strings.Replace(sound, first.Address(), "127.0.0.1:0", 1),
		strings.Replace(sound, first.Address(), "host.example:80", 1), strings.Repeat("x", 900<<10),
	}
	const rounds = 2
	for round := range rounds {
		for i, value := range values {
			fx.store.Put(fmt.Sprintf("%sodd-%d", wire.PrefixTargets, i), []byte(value))
			fx.store.Put(wire.PrefixTargets+"i-1", []byte(value)) // replaces a sound entry
			fx.store.Put(wire.PrefixRollout+plainName, []byte(value))
			fx.store.Put(wire.KeyConfig, []byte(value))
			fx.store.Put(wire.KeyCheckpoint, []byte(value))
		}
		for _, key := range []string{"", "a/b", "a b", "\n", "é", strings.Repeat("k", 2000)} {
			fx.store.Put(wire.PrefixTargets+key, []byte(sound))
		}
		fx.store.Put(wire.KeyConfig, configuration(2+round, 0))
		fx.addServer(plainName, slotengine.Config{})
		listed := fmt.Sprintf(`"key":"servers/i-%d"`, len(fx.servers)-1)
		fx.eventually("a server is listed beside odd entries", func() bool { return fx.log.contains(listed) })
		path := fmt.Sprintf("/version-%d/x", 2+round)
		fx.eventually("the configuration beside odd ones is in force", func() bool { return fx.call("GET", path, "").status == 200 })
	}
	before := len(replaced.Runs())
	for range 20 {
		fx.call("GET", pathIdempotent, "")
	}
	if n := len(replaced.Runs()); n != before {
		t.Errorf("%d requests at a server whose entry was replaced by an odd one", n-before)
	}
	if n, most := fx.log.count("target entry unreadable"), len(values)+10; n == 0 || n > most {
		t.Errorf("%d log lines about %d unreadable entries", n, len(values)+6)
	}
	if fx.log.contains("panic") {
		t.Error("a loop of the host panicked")
	}
}
