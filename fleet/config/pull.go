package config

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/platform"
)

// PullRequest is the body of a pull-config call.
type PullRequest struct {
	_ struct{} `cbor:",toarray"`
	// Have is what the caller holds; the zero Stamp asks for the whole file.
	Have Stamp
}

// PullResponse answers it: nothing newer (Value.Number is 0), a delta against
// Base, or the whole file.
type PullResponse struct {
	_     struct{} `cbor:",toarray"`
	Value Value    // Text is empty if Delta is set
	Stamp Stamp    // of the whole value
	Base  Stamp
	Delta []op
}

// Serve answers a peer's pull.
func (s *Spread) Serve(r PullRequest) PullResponse {
	if !s.stamp.Newer(r.Have) {
		return PullResponse{}
	}
	for i := len(s.past) - 1; i >= 0; i-- {
		if s.past[i].stamp == r.Have {
			return s.delta(s.past[i])
		}
	}
	return PullResponse{Value: s.held, Stamp: s.stamp}
}

func (s *Spread) delta(base pastValue) PullResponse {
	ops := diff(base.text, s.held.Text)
	size := 0
	for _, o := range ops {
		size += len(o.Text) + 8
	}
	if size >= len(s.held.Text) {
		return PullResponse{Value: s.held, Stamp: s.stamp}
	}
	v := s.held
	v.Text = nil
	return PullResponse{Value: v, Stamp: s.stamp, Base: base.stamp, Delta: ops}
}

// OnPulled takes in a peer's answer and reports whether a newer file was
// adopted. The response's stamp covers the content, so a delta that does not
// fit never gets into force; the whole file is asked for instead.
func (s *Spread) OnPulled(from string, r PullResponse, now time.Time) bool {
	v, ok := s.restore(r)
	if !ok && r.Delta != nil {
		s.whole = true
		s.asked = ""
		return false
	}
	if !ok {
		s.OnPullFailed(from, now)
		return false
	}
	if s.asked == from {
		s.asked = ""
	}
	adopted := s.adopt(v, r.Stamp, now)
	if !adopted {
		s.forgetOffer(from)
	}
	return adopted
}

// restore completes a response to the value it stands for.
func (s *Spread) restore(r PullResponse) (Value, bool) {
	v := r.Value
	if r.Delta != nil {
		if r.Base != s.stamp {
			return Value{}, false
		}
		text, err := patch(s.held.Text, r.Delta, platform.MaxValue)
		if err != nil {
			return Value{}, false
		}
		v.Text = text
	}
	return v, v.Stamp() == r.Stamp
}

// EncodeRequest, DecodeRequest, EncodeResponse and DecodeResponse convert the
// bodies of a pull-config call.
func EncodeRequest(r PullRequest) ([]byte, error) { return cbor.Marshal(r) }

// DecodeRequest reads a PullRequest.
func DecodeRequest(b []byte) (r PullRequest, err error) { err = cbor.Unmarshal(b, &r); return r, err }

// EncodeResponse writes a PullResponse.
func EncodeResponse(r PullResponse) ([]byte, error) { return cbor.Marshal(r) }

// DecodeResponse reads a PullResponse.
func DecodeResponse(b []byte) (r PullResponse, err error) {
	err = cbor.Unmarshal(b, &r)
	return r, err
}
