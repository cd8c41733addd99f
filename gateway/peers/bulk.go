package peers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/klauspost/compress/gzip"
)

// Bulk is what a host passes on to one that cannot reach the store.
type Snapshot struct {
	_ struct{} `cbor:",toarray"`
	// Config is the configuration as the store holds it; empty for none newer than the
	// one that was asked for.
	Config  []byte
	Targets []Change
	// ListAge is as in Heartbeat.
	ListAgeMs int64
}

const (
	bulkPath = "/v1/state"
	// configPath serves the configuration alone, compressed.
	configPath = "/v1/config"
	// bulkVersion is the query's field of the version that the peer has.
	bulkVersion = "version"
	// bulkTimeout covers a large configuration over a slow link.
	bulkTimeout = 1500 * time.Millisecond
	// maxBulk bounds what is read: a configuration of at most 1 MiB and the list.
	maxBulk = 4 << 20
)

// Holdings is what a host can pass on. Both take the version of the configuration that
// the peer has, 0 for none.
type SnapshotSource interface {
	Snapshot(version int64) *Snapshot
	// NewerConfig returns a configuration that is newer, or nothing, and the version in force.
	NewerConfig(version int64) (value []byte, current int64)
}

// BulkHandler serves what this host holds.
func SnapshotHandler(h SnapshotSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+bulkPath, func(w http.ResponseWriter, r *http.Request) {
		serveVersioned(w, r, func(version int64) ([]byte, error) {
			b, err := encoder.Marshal(h.Snapshot(version))
			if err != nil {
				return nil, err
			}
			return compress(b)
		})
	})
	var packed packedConfig
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, r *http.Request) {
		serveVersioned(w, r, func(version int64) ([]byte, error) { return packed.get(h.NewerConfig(version)) })
	})
	return mux
}

// serveVersioned answers with the body for the version that the peer has.
func serveVersioned(w http.ResponseWriter, r *http.Request, body func(version int64) ([]byte, error)) {
	version, err := strconv.ParseInt(r.URL.Query().Get(bulkVersion), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := body(version)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b) // the peer asks again if it is cut
}

// packedConfig keeps the compressed form of the newest configuration: all hosts of a zone
// ask for it at the same time.
type packedConfig struct {
	mu      sync.Mutex
	version int64
	packed  []byte
}

// get returns the compressed form of a configuration, nothing for an empty one.
func (c *packedConfig) get(value []byte, version int64) ([]byte, error) {
	if len(value) == 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version {
		return c.packed, nil
	}
	packed, err := compress(value)
	if err != nil {
		return nil, err
	}
	c.version, c.packed = version, packed
	return packed, nil
}

func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if _, err := z.Write(b); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// bulkClient keeps no connections: fetches are rare.
var bulkClient = &http.Client{Timeout: bulkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Fetch gets what the peer at the address holds; the configuration only if it is newer
// than the version.
func (m *Mesh) FetchSnapshot(ctx context.Context, address string, version int64) (*Snapshot, error) {
	b, err := fetch(ctx, address, bulkPath, version)
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(b)
}

// FetchConfig gets the configuration of the peer at the address, empty if it is no newer
// than the version.
func (m *Mesh) FetchConfig(ctx context.Context, address string, version int64) ([]byte, error) {
	return fetch(ctx, address, configPath, version)
}

// fetch returns the body without its compression, nothing for an empty one.
func fetch(ctx context.Context, address, path string, version int64) ([]byte, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d", address, path, bulkVersion, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := bulkClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer state: status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBulk))
	if err != nil || len(b) == 0 {
		return nil, err
	}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("peer state: %w", err)
	}
	return io.ReadAll(io.LimitReader(z, maxBulk))
}

// DecodeBulk reads the wire form of a Bulk.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	var out Snapshot
	if err := decoder.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("peer state: %w", err)
	}
	return &out, nil
}
