package target

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop headers apply to a single connection and are not forwarded in either
// direction.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// setByClient lists the headers that the client sets itself.
var setByClient = map[string]bool{"Host": true, "Content-Length": true, "Expect": true, HeaderRequestID: true}

// buildRequest validates req and copies it into httpReq.
func (c *client) buildRequest(httpReq *fasthttp.Request, req *Request) error {
	if err := req.Validate(); err != nil {
		return err
	}
	h := &httpReq.Header
	h.SetMethod(req.Method)
	h.SetRequestURI(req.Path)
	h.SetHost(c.cfg.Address)
	h.SetNoDefaultContentType(true)
	perConnection := connectionHeaders(req.Header)
	for k, vs := range req.Header {
		k = textproto.CanonicalMIMEHeaderKey(k)
		if hopByHop[k] || setByClient[k] || perConnection[k] || (c.isEngine && k == "Accept-Encoding") {
			continue
		}
		for _, v := range vs {
			h.Add(k, v)
		}
	}
	if req.ID != "" {
		h.Set(HeaderRequestID, req.ID)
	}
	if req.Stream && req.Header.Get("Accept") == "" {
		h.Set("Accept", eventStream)
	}
	httpReq.SetBodyRaw(req.Body)
	return nil
}

// Validate returns an error if the request is not valid in HTTP. The error does not
// depend on the target, so sending the request to another target does not help.
func (req *Request) Validate() error {
	if req.Method == "" || !isToken(req.Method) || req.Method == http.MethodConnect {
		return fmt.Errorf("method %q is not valid", req.Method)
	}
	if !strings.HasPrefix(req.Path, "/") || !isPrintable(req.Path) || strings.Contains(req.Path, "#") {
		return fmt.Errorf("path %q is not valid", req.Path)
	}
	if !isPrintable(req.ID) {
		return fmt.Errorf("request id %q is not valid", req.ID)
	}
	if len(req.Body) > 0 && (req.Method == http.MethodGet || req.Method == http.MethodHead) {
		return errors.New("a GET or HEAD request has no body")
	}
	for k, vs := range req.Header {
		for _, v := range vs {
			if !validHeader(k, v) {
				return fmt.Errorf("header %q is not valid", k)
			}
		}
	}
	return nil
}

// connectionHeaders returns the names of the headers that the Connection header
// lists.
func connectionHeaders(h http.Header) map[string]bool {
	var named map[string]bool
	for _, v := range h.Values("Connection") {
		for _, k := range strings.Split(v, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(k))] = true
		}
	}
	return named
}

func validHeader(k, v string) bool {
	return k != "" && isToken(k) && !strings.ContainsAny(v, "\r\n\x00")
}

// isPrintable reports whether s has visible ASCII characters only, so that it
// cannot end its line of the request header.
func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

func isToken(s string) bool {
	return isPrintable(s) && !strings.ContainsAny(s, "\"(),/:;<=>?@[\\]{}")
}

// endToEndHeaders returns the headers of a response without hop-by-hop headers.
func endToEndHeaders(h *fasthttp.ResponseHeader) http.Header {
	out := make(http.Header)
	for k, v := range h.All() {
		key := textproto.CanonicalMIMEHeaderKey(string(k))
		if !hopByHop[key] {
			out[key] = append(out[key], string(v))
		}
	}
	for k := range connectionHeaders(http.Header{"Connection": headerValues(h, "Connection")}) {
		out.Del(k)
	}
	return out
}

func headerValues(h *fasthttp.ResponseHeader, key string) []string {
	var vs []string
	for _, v := range h.PeekAll(key) {
		vs = append(vs, string(v))
	}
	return vs
}
