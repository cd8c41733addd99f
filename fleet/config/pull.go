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
	Have Version
}

// PullResponse answers it: nothing newer (Value.Number is 0), a delta against
// Base, or the whole file.
type PullResponse struct {
	_       struct{}  `cbor:",toarray"`
	File    RulesFile // Text is empty if Delta is set
	Version Version   // of the whole value
	Base    Version
	Delta   []op
}

// Serve answers a peer's pull.
func (s *Replica) ServePull(r PullRequest) PullResponse {
	if !s.stamp.Newer(r.Have) {
		return PullResponse{}
	}
	for i := len(s.past) - 1; i >= 0; i-- {
		if s.past[i].stamp == r.Have {
			return s.delta(s.past[i])
		}
	}
	return PullResponse{File: s.held, Version: s.stamp}
}

func (s *Replica) delta(base pastValue) PullResponse {
	ops := diff(base.text, s.held.Text)
	size := 0
	for _, o := range ops {
		size += len(o.Text) + 8
	}
	if size >= len(s.held.Text) {
		return PullResponse{File: s.held, Version: s.stamp}
	}
	v := s.held
	v.Text = nil
	return PullResponse{File: v, Version: s.stamp, Base: base.stamp, Delta: ops}
}

// OnPulled takes in a peer's answer and reports whether a newer file was
// adopted. The response's stamp covers the content, so a delta that does not
// fit never gets into force; the whole file is asked for instead.
func (s *Replica) HandlePullResponse(from string, r PullResponse, now time.Time) bool {
	v, ok := s.restore(r)
	if !ok && r.Delta != nil {
		s.whole = true
		s.asked = ""
		return false
	}
	if !ok {
		s.HandlePullFailure(from, now)
		return false
	}
	if s.asked == from {
		s.asked = ""
	}
	adopted := s.adopt(v, r.Version, now)
	if !adopted {
		s.forgetOffer(from)
	}
	return adopted
}

// restore completes a response to the value it stands for.
func (s *Replica) restore(r PullResponse) (RulesFile, bool) {
	v := r.File
	if r.Delta != nil {
		if r.Base != s.stamp {
			return RulesFile{}, false
		}
		text, err := patch(s.held.Text, r.Delta, platform.MaxValueBytes)
		if err != nil {
			return RulesFile{}, false
		}
		v.Text = text
	}
	return v, v.Version() == r.Version
}

// EncodeRequest, DecodeRequest, EncodeResponse and DecodeResponse convert the
// bodies of a pull-config call.
func EncodePullRequest(r PullRequest) ([]byte, error) { return cbor.Marshal(r) }

// DecodeRequest reads a PullRequest.
func DecodePullRequest(b []byte) (r PullRequest, err error) {
	err = cbor.Unmarshal(b, &r)
	return r, err
}

// EncodeResponse writes a PullResponse.
func EncodePullResponse(r PullResponse) ([]byte, error) { return cbor.Marshal(r) }

// DecodeResponse reads a PullResponse.
func DecodePullResponse(b []byte) (r PullResponse, err error) {
	err = cbor.Unmarshal(b, &r)
	return r, err
}
