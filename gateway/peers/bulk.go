package peers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/klauspost/compress/gzip"
)

// Bulk is what a host passes on to one that cannot reach the store.
type Bulk struct {
	_ struct{} `cbor:",toarray"`
	// Config is the configuration as the store holds it; empty for none.
	Config  []byte
	Targets []Change
	// ListAge is as in Heartbeat.
	ListAge int64
}

const (
	bulkPath = "/v1/state"
	// bulkTimeout covers a large configuration over a slow link.
	bulkTimeout = 1500 * time.Millisecond
	// maxBulk bounds what is read: a configuration of at most 1 MiB and the list.
	maxBulk = 4 << 20
)

// BulkHandler serves what this host holds.
func BulkHandler(state func() *Bulk) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+bulkPath, func(w http.ResponseWriter, r *http.Request) {
		b, err := encoder.Marshal(state())
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

// Fetch gets what the peer at the address holds.
func (m *Mesh) Fetch(ctx context.Context, address string) (*Bulk, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+bulkPath, nil)
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
