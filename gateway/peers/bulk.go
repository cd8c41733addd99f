package peers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/klauspost/compress/gzip"
)

// Bulk is what a host passes on to one that cannot reach the store.
type Bulk struct {
	_ struct{} `cbor:",toarray"`
	// Config is the configuration as the store holds it; empty for none newer than the
	// one that was asked for.
	Config  []byte
	Targets []Change
	// ListAge is as in Heartbeat.
	ListAge int64
}

const (
	bulkPath = "/v1/state"
	// bulkVersion is the query's field of the version that the peer has.
	bulkVersion = "version"
	// bulkTimeout covers a large configuration over a slow link.
	bulkTimeout = 1500 * time.Millisecond
	// maxBulk bounds what is read: a configuration of at most 1 MiB and the list.
	maxBulk = 4 << 20
)

// BulkHandler serves what this host holds to a peer that has a version of the
// configuration, 0 for none.
func BulkHandler(state func(version int64) *Bulk) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+bulkPath, func(w http.ResponseWriter, r *http.Request) {
		version, err := strconv.ParseInt(r.URL.Query().Get(bulkVersion), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b, err := encoder.Marshal(state(version))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			_, _ = w.Write(b) // the peer asks again if it is cut
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		_, _ = z.Write(b) // as above
		_ = z.Close()
	})
	return mux
}

// bulkClient keeps no connections: fetches are rare.
var bulkClient = &http.Client{Timeout: bulkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Fetch gets what the peer at the address holds; the configuration only if it is newer
// than the version.
func (m *Mesh) Fetch(ctx context.Context, address string, version int64) (*Bulk, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d", address, bulkPath, bulkVersion, version)
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
	if err != nil {
		return nil, err
	}
	return DecodeBulk(b)
}

// DecodeBulk reads the wire form of a Bulk.
func DecodeBulk(b []byte) (*Bulk, error) {
	var out Bulk
	if err := decoder.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("peer state: %w", err)
	}
	return &out, nil
}
