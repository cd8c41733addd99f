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

// Snapshot is the state that a host serves to peers that can't reach the store.
type Snapshot struct {
	_ struct{} `cbor:",toarray"`
	// Config is the configuration in its stored encoding, empty if it is not newer than the
	// version in the request.
	Config []byte
	// Targets are the entries of the target list, and the evacuations of availability zones.
	Targets []Change
	// ListAgeMs has the meaning of Heartbeat.ListAgeMs.
	ListAgeMs int64
	// StoreEra is the era of the store of the revisions.
	StoreEra int64
}

const (
	snapshotPath = "/v1/state"
	// configPath serves only the configuration, gzip-compressed.
	configPath = "/v1/config"
	// versionParam is the query parameter with the configuration version of the requester.
	versionParam = "version"
	// fetchTimeout covers a large configuration over a slow link.
	fetchTimeout = 1500 * time.Millisecond
	// maxFetchBytes bounds a fetched body. It covers a configuration of at most 1 MiB and the
	// target list.
	maxFetchBytes = 4 << 20
	// maxFetchHeaderBytes bounds the headers of a fetched response.
	maxFetchHeaderBytes = 16 << 10
)

// SnapshotSource supplies the state that is served to peers. The version parameter is the
// configuration version of the requesting peer, 0 for none.
type SnapshotSource interface {
	Snapshot(version int64) *Snapshot
	// NewerConfig returns the configuration if it is newer than version, else nil, and the
	// version of the stored configuration.
	NewerConfig(version int64) (value []byte, current int64)
}

// SnapshotHandler returns the HTTP handler that serves snapshots and configurations to peers.
func SnapshotHandler(source SnapshotSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, r *http.Request) {
		serveVersioned(w, r, func(version int64) ([]byte, error) {
			b, err := encoder.Marshal(source.Snapshot(version))
			if err != nil {
				return nil, err
			}
			return compress(b)
		})
	})
	var configCache compressedConfig
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, r *http.Request) {
		serveVersioned(w, r, func(version int64) ([]byte, error) { return configCache.get(source.NewerConfig(version)) })
	})
	return mux
}

// serveVersioned writes the body for the version in the query of the request.
func serveVersioned(w http.ResponseWriter, r *http.Request, body func(version int64) ([]byte, error)) {
	version, err := strconv.ParseInt(r.URL.Query().Get(versionParam), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := body(version)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b) // a peer that got a partial body retries
}

// compressedConfig caches the compressed form of the newest configuration: all hosts of a
// zone fetch it at the same time.
type compressedConfig struct {
	mu         sync.Mutex
	version    int64
	compressed []byte
}

// get returns the compressed form of value, nil if it is empty.
func (c *compressedConfig) get(value []byte, version int64) ([]byte, error) {
	if len(value) == 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version {
		return c.compressed, nil
	}
	compressed, err := compress(value)
	if err != nil {
		return nil, err
	}
	c.version, c.compressed = version, compressed
	return compressed, nil
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

// fetchClient keeps no connections open: fetches are rare.
var fetchClient = &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxFetchHeaderBytes}}

// FetchSnapshot fetches the snapshot of the peer at the address. It contains the configuration
// only if that is newer than version.
func (m *Mesh) FetchSnapshot(ctx context.Context, address string, version int64) (*Snapshot, error) {
	b, err := fetchCompressed(ctx, address, snapshotPath, version)
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(b)
}

// FetchConfig fetches the configuration of the peer at the address. The result is empty if
// that is not newer than version.
func (m *Mesh) FetchConfig(ctx context.Context, address string, version int64) ([]byte, error) {
	return fetchCompressed(ctx, address, configPath, version)
}

// fetchCompressed fetches and decompresses a body. The result is nil for a body of the stated length 0.
func fetchCompressed(ctx context.Context, address, path string, version int64) ([]byte, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d", address, path, versionParam, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := fetchClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer state: GET %s: status %d", url, resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchBytes))
	if err != nil {
		return nil, err
	}
	if len(b) == 0 && resp.ContentLength == 0 { // not a body that broke off at its beginning
		return nil, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("peer state: GET %s: gzip: %w", url, err)
	}
	return io.ReadAll(io.LimitReader(z, maxFetchBytes))
}

// DecodeSnapshot decodes a Snapshot from its wire format.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	var out Snapshot
	if err := decoder.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("peer state: %w", err)
	}
	return &out, nil
}
