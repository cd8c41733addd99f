package settings_test

import (
	"maps"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/gateway/settings"
)

const good = `
host: {name: "h1", zone: "z1", address: "10.1.0.25"}
listen: {callers: "10.1.0.25:8221", ready: "10.1.0.25:8224", internal_ports: [7600,7615]}
seeds: ["10.2.0.17:8229","not an address"]
store: {address: "10.200.1.7:8225", reads_per_second: 2000, writes_per_second: 400}
stop: {grace_s: 8}
retry_budget: {ratio: 0.2, slack: 54, window_s: 10}
quota: {window_s: 8, over: 0.1, slack: 190000}
from_the_future: {x: 1}
`

// Guards against wrongly parsed settings, an invalid seed that fails the whole file, and a
// file that is rejected because a later version of the platform added a field.
func TestGoodSettings(t *testing.T) {
	s, err := settings.Parse("f", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.PeerAddress() != "10.1.0.25:7600" || strings.Join(s.PeerSeeds(), " ") != "10.2.0.17:7600" || s.GracePeriod() != 8*time.Second {
		t.Errorf("%s, %v, %s", s.PeerAddress(), s.PeerSeeds(), s.GracePeriod())
	}
	if q := s.QuotaTolerance(); q.Window != 8*time.Second || q.Ratio != 0.1 || q.Slack != 190000 {
		t.Errorf("%+v", q)
	}
}

// Guards against reporting only the first of several invalid values.
func TestAllFindingsAreReported(t *testing.T) {
	bad := strings.NewReplacer(`"h1"`, `""`, `address: "10.1.0.25"`, `address: "x"`, `"10.1.0.25:8224"`, `"8224"`, "grace_s: 8", "grace_s: 0").Replace(good)
	_, err := settings.Parse("f.yaml", []byte(bad))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"f.yaml:2: host.name", "f.yaml:2: host.address", "f.yaml:3: listen.ready", "f.yaml:6: stop.grace_s"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
}

// Guards against settings of earlier platforms, without regions, that are rejected, and against the
// region of the host's zone that replaces the one in the table.
func TestRegions(t *testing.T) {
	for _, c := range []struct {
		settings string
		want     map[string]string
	}{
		{good, map[string]string{}},
		{strings.Replace(good, `zone: "z1"`, `zone: "z1", region: "r1"`, 1), map[string]string{"z1": "r1"}},
		{strings.Replace(good, `zone: "z1"`, `zone: "z1", region: "r1"`, 1) + `zones: {"z1":"r0","z2":"r2"}`, map[string]string{"z1": "r0", "z2": "r2"}},
		{good + "zones: null", map[string]string{}},
	} {
		s, err := settings.Parse("f", []byte(c.settings))
		if err != nil || !maps.Equal(s.Regions(), c.want) {
			t.Errorf("%v, error %v, want %v", s.Regions(), err, c.want)
		}
	}
	if _, err := settings.Parse("f", []byte(good+`zones: {"": "r"}`)); err == nil {
		t.Error("a zone without a name is accepted")
	}
}
