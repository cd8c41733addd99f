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
	maxDetailBytes = 256
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
	req := Request{ID: id, Method: http.MethodGet, Path: streamPath(id) + "?offset=" + strconv.FormatInt(offset, 10), Stream: true}
	resp, err := e.send(ctx, req, offset)
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, e.refusedError(resp, ErrUnknownStream)
	}
	return resp, nil
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
func (e *Engine) LoadModel(ctx context.Context, cmd LoadCommand) error {
	body, err := json.Marshal(cmd)
	if err != nil {
		return e.sendError(false, ReasonInvalid, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	h.Set(HeaderFencingToken, strconv.FormatInt(cmd.FencingToken, 10))
	_, err = e.command(ctx, Request{Method: http.MethodPost, Path: "/v1/models/load", Header: h, Body: body}, maxReportBytes, nil)
	var se *StaleTokenError
	if errors.As(err, &se) {
		se.Sent = cmd.FencingToken
	}
	return err
}

// Report returns the engine's load report.
func (e *Engine) LoadReport(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := e.getJSON(ctx, "/v1/load", &r)
	return r, err
}

// CacheEvents returns the events with a greater sequence number, oldest first.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := e.getJSON(ctx, "/v1/cache/events?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

func (e *Engine) getJSON(ctx context.Context, path string, v any) error {
	body, err := e.command(ctx, Request{Method: http.MethodGet, Path: path}, maxReportBytes, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return e.sendError(true, ReasonMalformed, fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	return nil
}

// command sends a control command and returns the body of a 2xx answer.
func (e *Engine) command(ctx context.Context, req Request, limit int, notFound error) ([]byte, error) {
	if req.ID == "" {
		req.ID = rand.Text()
	}
	if e.cfg.SenderToken != "" {
		if req.Header == nil {
			req.Header = make(http.Header)
		}
		req.Header.Set("Authorization", "Bearer "+e.cfg.SenderToken)
	}
	resp, err := e.send(ctx, req, 0)
	if err != nil {
		return nil, err
	}
	if resp.Status >= 300 {
		return nil, e.refusedError(resp, notFound)
	}
	body, err := ReadAll(resp.Body, limit)
	if err != nil {
		return nil, e.sendError(true, ReasonClosed, err)
	}
	return body, nil
}

// refused reads the answer of a refused command and returns its typed error.
func (e *Engine) refusedError(resp *Response, notFound error) error {
	detail, _ := ReadAll(resp.Body, maxReportBytes)
	var cause error = &StatusError{Status: resp.Status, Detail: string(detail[:min(len(detail), maxDetailBytes)])}
	current := resp.Header.Get(HeaderFencingToken)
	switch {
	case resp.Status == http.StatusNotFound && notFound != nil:
		cause = notFound
	case resp.Status == http.StatusConflict && current != "":
		n, _ := strconv.ParseInt(current, 10, 64)
		cause = &StaleTokenError{Current: n}
	}
	return e.sendError(true, ReasonRefused, cause)
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }

func prefixPath(prefix uint64) string { return fmt.Sprintf("/v1/kv/%016x", prefix) }
