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
	// maxReportBytes bounds the bodies of load reports, cache events and errors.
	maxReportBytes = 8 << 20
	// MaxExportBytes bounds one exported block of the KV cache.
	MaxExportBytes = 64 << 20
	maxDetailBytes = 256
)

// LoadCommand instructs an engine to load a model version or to change its role.
type LoadCommand struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	// Role is the engine's new role; empty leaves it unchanged.
	Role string `json:"role,omitempty"`
	// FencingToken identifies the sender's lease; it is sent as X-Fencing-Number.
	// An engine with fencing rejects a command with a token older than the last.
	FencingToken int64 `json:"-"`
}

// LoadReport is the load and the model of an engine, as reported by the engine
// itself. The values can be out of date.
type LoadReport struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
	// LoadingVersion is the version that is being loaded, empty if none.
	LoadingVersion string `json:"loading,omitempty"`
	// Running and Waiting count requests. RemainingTokens counts the prompt and
	// output tokens that these requests still have to process.
	Running         int `json:"running"`
	Waiting         int `json:"waiting"`
	RemainingTokens int `json:"tokens"`
	Slots           int `json:"slots"`
	// CachedBlocks counts the cache blocks in use, CacheBlocks all cache blocks.
	CachedBlocks int `json:"cached_blocks"`
	CacheBlocks  int `json:"cache_blocks"`
}

// CacheEvent reports that an engine has cached or evicted a prefix. A gap in
// Sequence means that events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Engine is a client of an LLM engine. Its methods return errors of the type
// *SendError. If the engine refused a control command, the cause is a *StatusError, a
// *StaleTokenError, ErrUnknownStream or ErrNotCached.
type Engine struct{ *client }

var _ Target = (*Engine)(nil)

// NewEngine returns a client of an engine. It connects on the first request.
func NewEngine(cfg Config) *Engine { return &Engine{newClient(cfg, true)} }

// Resume continues the event stream of a request after the first offset events.
func (e *Engine) Resume(ctx context.Context, id string, offset int64) (*Response, error) {
	req := Request{ID: id, Method: http.MethodGet, Path: streamPath(id) + "?offset=" + strconv.FormatInt(offset, 10), Stream: true, control: true}
	resp, err := e.send(ctx, req, offset)
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, e.refusedError(resp, ErrUnknownStream)
	}
	if !resp.IsEventStream {
		_ = resp.Body.Close()
		return nil, e.sendError(true, ReasonMalformed, fmt.Errorf("%w: a resumed stream has the content type %q", ErrMalformed, resp.ContentType))
	}
	return resp, nil
}

// Cancel stops the execution of a request.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	_, err := e.command(ctx, Request{ID: id, Method: http.MethodDelete, Path: streamPath(id)}, maxReportBytes, ErrUnknownStream)
	return err
}

// ExportCache returns the KV cache of a prefix, at most MaxExportBytes.
func (e *Engine) ExportCache(ctx context.Context, prefix uint64) ([]byte, error) {
	return e.command(ctx, Request{Method: http.MethodGet, Path: prefixPath(prefix)}, MaxExportBytes, ErrNotCached)
}

// ImportCache stores the KV cache of a prefix that another engine exported.
func (e *Engine) ImportCache(ctx context.Context, prefix uint64, block []byte) error {
	_, err := e.command(ctx, Request{Method: http.MethodPut, Path: prefixPath(prefix), Body: block}, maxReportBytes, nil)
	return err
}

// LoadModel sends a load command. It returns when the engine has accepted the
// command; LoadReport shows when the version is served.
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

// LoadReport returns the engine's load report.
func (e *Engine) LoadReport(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := e.getJSON(ctx, "/v1/load", &r)
	return r, err
}

// CacheEvents returns the events with a sequence number greater than after, oldest
// first.
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

// command sends a control command and returns the body of a 2xx response, which may
// have up to limit bytes. A status of 404 is returned as notFound if that is not nil.
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
	req.control = true
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

// refusedError reads the response to a refused command and returns the error.
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
