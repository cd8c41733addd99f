package ingress

import (
	"io"
	"net/http"
	"time"

	"sardinefront.dev/gateway/connlimit"
)

const (
	// lingerTime and maxLingerBytes bound what is read of the body of a request that was refused.
	lingerTime     = 5 * time.Second
	maxLingerBytes = 16 << 20
)

// hasUnreadBody reports whether the caller may still be sending the body. One that expects an
// interim response first sends none after a refusal.
func (x *exchange) hasUnreadBody() bool {
	return !x.bodyRead && x.r.Body != nil && x.r.Body != http.NoBody && x.r.Header.Get("Expect") == ""
}

// discardBody reads the rest of the body after a refusal. Closing the connection with unread bytes
// would reset it, and a caller that still writes could lose the refusal. It does not return if the
// body does not end in time: what is left of it must not be taken for the next request.
func (x *exchange) discardBody(connection *http.ResponseController) {
	end := time.Now().Add(lingerTime)
	if stop := x.stop.Load(); stop != nil && stop.end.Before(end) {
		end = stop.end
	}
	connlimit.SetReceiving(x.r.Context(), true)
	_ = connection.SetReadDeadline(end)
	if n, err := io.CopyN(io.Discard, x.r.Body, maxLingerBytes); n == maxLingerBytes || err != io.EOF {
		panic(http.ErrAbortHandler)
	}
	_ = connection.SetReadDeadline(time.Time{})
}
