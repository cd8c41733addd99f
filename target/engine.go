package target

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

const (
	// maxReportBytes bounds load reports, cache events and error details.
	maxReportBytes = 8 << 20
	// MaxBlockBytes bounds one exported block of KV cache.
	MaxExportBytes = 64 << 20
	detailBytes    = 256
)

// Order is a control command that loads a model version or changes the role.
type LoadCommand struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	// Role is the engine's role; empty keeps it.
	Role string `json:"role,omitempty"`
	// Fence is the sender's fencing number, sent as X-Fencing-Number.
	FencingToken int64 `json:"-"`
}

// LoadReport is an engine's view of itself, which lags behind the truth.
type LoadReport struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
	// Loading is the version that is being loaded, empty if none.
	LoadingVersion string `json:"loading,omitempty"`
	// Running and Waiting count requests, Tokens counts the prompt and output
	// tokens that they still need.
	Running         int `json:"running"`
	Waiting         int `json:"waiting"`
	RemainingTokens int `json:"tokens"`
	Slots           int `json:"slots"`
	// CachedBlocks of CacheBlocks hold prompt prefixes.
	CachedBlocks int `json:"cached_blocks"`
	CacheBlocks  int `json:"cache_blocks"`
}

// CacheEvent says that an engine has stored or evicted a prefix. A gap in
// Sequence means that events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Engine is a model engine. Methods besides Do return a *SendError, whose cause
// is a *StatusError, a *StaleFenceError, ErrUnknownStream or ErrNotCached if
// the engine refused.
type Engine struct{ *client }

var _ Target = (*Engine)(nil)

// NewEngine returns an adapter for an engine. It dials on demand.
func NewEngine(cfg Config) *Engine { return &Engine{newClient(cfg, true)} }

// Resume continues the stream of a request from an offset in events.
func (e *Engine) Resume(ctx context.Context, id string, offset int64) (*Response, error) {
	call := Request{ID: id, Method: http.MethodGet, Path: streamPath(id) + "?offset=" + strconv.FormatInt(offset, 10), Stream: true}
	ans, err := e.do(ctx, call, offset)
	if err != nil {
		return nil, err
	}
	if ans.Status != http.StatusOK {
		return nil, e.refused(ans, ErrUnknownStream)
	}
	return ans, nil
}

// Cancel ends the run of a request.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	_, err := e.command(ctx, Request{ID: id, Method: http.MethodDelete, Path: streamPath(id)}, maxReportBytes, ErrUnknownStream)
	return err
}

// Export returns the KV cache of a prefix, at most MaxBlockBytes.
func (e *Engine) ExportCache(ctx context.Context, prefix uint64) ([]byte, error) {
	return e.command(ctx, Request{Method: http.MethodGet, Path: prefixPath(prefix)}, MaxExportBytes, ErrNotCached)
}

// Import stores the KV cache of a prefix that another engine exported.
func (e *Engine) ImportCache(ctx context.Context, prefix uint64, block []byte) error {
	_, err := e.command(ctx, Request{Method: http.MethodPut, Path: prefixPath(prefix), Body: block}, maxReportBytes, nil)
	return err
}

// Load orders a model version. It returns when the engine has accepted the
// order; Report says when the version is served.
func (e *Engine) LoadModel(ctx context.Context, order LoadCommand) error {
	body, err := json.Marshal(order)
	if err != nil {
		return e.fail(false, ReasonInvalid, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	h.Set(HeaderFencingToken, strconv.FormatInt(order.FencingToken, 10))
	_, err = e.command(ctx, Request{Method: http.MethodPost, Path: "/v1/models/load", Header: h, Body: body}, maxReportBytes, nil)
	var se *StaleTokenError
	if errors.As(err, &se) {
		se.Sent = order.FencingToken
	}
	return err
}

// Report returns the engine's load report.
func (e *Engine) LoadReport(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := e.query(ctx, "/v1/load", &r)
	return r, err
}

// CacheEvents returns the events with a greater sequence number, oldest first.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var evs []CacheEvent
	err := e.query(ctx, "/v1/cache/events?after="+strconv.FormatInt(after, 10), &evs)
	return evs, err
}

func (e *Engine) query(ctx context.Context, path string, v any) error {
	body, err := e.command(ctx, Request{Method: http.MethodGet, Path: path}, maxReportBytes, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return e.fail(true, ReasonMalformed, fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	return nil
}

// command sends a control command and returns the body of a 2xx answer.
func (e *Engine) command(ctx context.Context, call Request, limit int, notFound error) ([]byte, error) {
	if call.ID == "" {
		call.ID = rand.Text()
	}
	if e.cfg.SenderToken != "" {
		if call.Header == nil {
			call.Header = make(http.Header)
		}
		call.Header.Set("Authorization", "Bearer "+e.cfg.SenderToken)
	}
	ans, err := e.do(ctx, call, 0)
	if err != nil {
		return nil, err
	}
	if ans.Status >= 300 {
		return nil, e.refused(ans, notFound)
	}
	body, err := ReadAll(ans.Body, limit)
	if err != nil {
		return nil, e.fail(true, ReasonClosed, err)
	}
	return body, nil
}

// refused reads the answer of a refused command and returns its typed error.
func (e *Engine) refused(ans *Response, notFound error) error {
	detail, _ := ReadAll(ans.Body, maxReportBytes)
	var cause error = &StatusError{Status: ans.Status, Detail: string(detail[:min(len(detail), detailBytes)])}
	current := ans.Header.Get(HeaderFencingToken)
	switch {
	case ans.Status == http.StatusNotFound && notFound != nil:
		cause = notFound
	case ans.Status == http.StatusConflict && current != "":
		n, _ := strconv.ParseInt(current, 10, 64)
		cause = &StaleTokenError{Current: n}
	}
	return e.fail(true, ReasonRefused, cause)
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }

func prefixPath(prefix uint64) string { return fmt.Sprintf("/v1/kv/%016x", prefix) }
