package peers_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"sardinefront.dev/gateway/peers"
)

// fixedSource is a SnapshotSource with a target and a configuration.
type fixedSource struct{}

func (fixedSource) Snapshot(int64) *peers.Snapshot {
	return &peers.Snapshot{Config: []byte(`{"version":2}`), Targets: []peers.Change{{Key: "servers/i-1", Value: []byte("x"), Revision: 3}}}
}

func (fixedSource) NewerConfig(version int64) ([]byte, int64) {
	if version >= 2 {
		return nil, 2
	}
	return []byte(`{"version":2}`), 2
}

// Guards against a response of another host that breaks off at any byte and is taken for its whole
// list of targets, for its configuration, or for the statement that it has no newer one.
func TestCutResponseOfPeerIsNotRead(t *testing.T) {
	framings := map[string]string{
		"length":              "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
		"space before colon":  "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n",
		"folded":              "HTTP/1.1 200 OK\r\nServer: s\r\n Content-Length: %d\r\n\r\n",
		"neither":             "HTTP/1.1 200 OK\r\nServer: s%d\r\n\r\n",
		"chunked in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
	}
	fetches := map[string]func(m *peers.Mesh, address string) error{
		"snapshot": func(m *peers.Mesh, address string) error {
			_, err := m.FetchSnapshot(context.Background(), address, 1)
			return err
		},
		"config": func(m *peers.Mesh, address string) error {
			_, err := m.FetchConfig(context.Background(), address, 1)
			return err
		},
	}
	handler := peers.SnapshotHandler(fixedSource{})
	for name, fetch := range fetches {
		for framing, head := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				recorded := httptest.NewRecorder()
				path := map[string]string{"snapshot": "/v1/state?version=1", "config": "/v1/config?version=1"}[name]
				handler.ServeHTTP(recorded, httptest.NewRequest(http.MethodGet, path, nil))
				whole := fmt.Sprintf(head, recorded.Body.Len()) + recorded.Body.String()
				var length atomic.Int64
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					_, _ = io.WriteString(conn, whole[:length.Load()])
				}))
				defer s.Close()
				for n := range whole {
					length.Store(int64(n))
					if err := fetch(&peers.Mesh{}, strings.TrimPrefix(s.URL, "http://")); err == nil {
						t.Errorf("the first %d of %d bytes are read", n, len(whole))
					}
				}
			})
		}
	}
}

// Guards against a peer without a newer configuration that counts as failed.
func TestPeerWithoutNewerConfig(t *testing.T) {
	s := httptest.NewServer(peers.SnapshotHandler(fixedSource{}))
	defer s.Close()
	value, err := (&peers.Mesh{}).FetchConfig(context.Background(), strings.TrimPrefix(s.URL, "http://"), 2)
	if len(value) > 0 || err != nil {
		t.Errorf("%q, %v", value, err)
	}
}
