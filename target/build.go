package target

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop headers concern one connection and are not passed on in either
// direction.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// replaced headers are set by the client itself.
var replaced = map[string]bool{"Host": true, "Content-Length": true, "Expect": true, HeaderRequestID: true}

// fill writes the call into req.
func (c *client) fill(req *fasthttp.Request, call *Request) error {
	if err := call.Validate(); err != nil {
		return err
	}
	h := &req.Header
	h.SetMethod(call.Method)
	h.SetRequestURI(call.Path)
	h.SetHost(c.cfg.Address)
	h.SetNoDefaultContentType(true)
	named := connectionHeaders(call.Header)
	for k, vs := range call.Header {
		k = textproto.CanonicalMIMEHeaderKey(k)
		if hopByHop[k] || replaced[k] || named[k] || (c.engine && k == "Accept-Encoding") {
			continue
		}
		for _, v := range vs {
			h.Add(k, v)
		}
	}
	if call.ID != "" {
		h.Set(HeaderRequestID, call.ID)
	}
	if call.Stream && call.Header.Get("Accept") == "" {
		h.Set("Accept", eventStream)
	}
	req.SetBodyRaw(call.Body)
	return nil
}

// Validate reports why the call cannot be expressed in HTTP. The error concerns
// the call alone, so that another target would refuse it as well.
func (call *Request) Validate() error {
	if call.Method == "" || !isToken(call.Method) || call.Method == http.MethodConnect {
		return fmt.Errorf("method %q is not valid", call.Method)
	}
	if !strings.HasPrefix(call.Path, "/") || !isPrintable(call.Path) || strings.Contains(call.Path, "#") {
		return fmt.Errorf("path %q is not valid", call.Path)
	}
	if !isPrintable(call.ID) {
		return fmt.Errorf("request id %q is not valid", call.ID)
	}
	if len(call.Body) > 0 && (call.Method == http.MethodGet || call.Method == http.MethodHead) {
		return errors.New("a GET or HEAD request has no body")
	}
	for k, vs := range call.Header {
		for _, v := range vs {
			if !validHeader(k, v) {
				return fmt.Errorf("header %q is not valid", k)
			}
		}
	}
	return nil
}

// connectionHeaders returns the headers that the Connection header names.
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
// cannot end the line it is written to.
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

// copyHeader returns the end-to-end headers of an answer.
func copyHeader(h *fasthttp.ResponseHeader) http.Header {
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
