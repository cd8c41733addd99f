package config

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/platform"
)

// PullRequest is the body of a pull-config call.
type PullRequest struct {
	_ struct{} `cbor:",toarray"`
	// Have is the version that the caller holds. The zero Version requests the
	// whole file.
	Have Version
}

// PullResponse is the response to a PullRequest: a delta against Base, the whole file,
// or nothing (File.Number is 0) if the peer has no newer file.
type PullResponse struct {
	_       struct{}  `cbor:",toarray"`
	File    RulesFile // without Text if Delta is set
	Version Version   // of the complete file
	Base    Version
	Delta   []deltaOp
}

// ServePull returns the response to a peer's pull request.
func (r *Replica) ServePull(req PullRequest) PullResponse {
	if !r.version.Newer(req.Have) {
		return PullResponse{}
	}
	for i := len(r.deltaBases) - 1; i >= 0; i-- {
		if r.deltaBases[i].version == req.Have {
			return r.deltaResponse(r.deltaBases[i])
		}
	}
	return PullResponse{File: r.latest, Version: r.version}
}

// deltaResponse returns a delta against base, or the whole file if that is not larger.
func (r *Replica) deltaResponse(base deltaBase) PullResponse {
	ops := diff(base.text, r.latest.Text)
	size := 0
	for _, o := range ops {
		size += len(o.Text) + 8
	}
	if size >= len(r.latest.Text) {
		return PullResponse{File: r.latest, Version: r.version}
	}
	v := r.latest
	v.Text = nil
	return PullResponse{File: v, Version: r.version, Base: base.version, Delta: ops}
}

// HandlePullResponse processes the response of the peer from and reports whether a newer
// file was adopted. The version in the response includes a hash of the content, so the
// result of a delta that does not match is never adopted; the next pull requests the
// whole file.
func (r *Replica) HandlePullResponse(from string, resp PullResponse, now time.Time) bool {
	v, ok := r.reconstruct(resp)
	if !ok && resp.Delta != nil {
		r.pullWholeFile = true
		r.pullingFrom = ""
		return false
	}
	if !ok {
		r.HandlePullFailure(from, now)
		return false
	}
	if r.pullingFrom == from {
		r.pullingFrom = ""
	}
	adopted := r.adopt(v, resp.Version, now)
	if !adopted {
		r.removeSource(from)
	}
	return adopted
}

// reconstruct returns the complete file of a response. It reports false if a delta
// does not match or the result does not have the announced version.
func (r *Replica) reconstruct(resp PullResponse) (RulesFile, bool) {
	v := resp.File
	if resp.Delta != nil {
		if resp.Base != r.version {
			return RulesFile{}, false
		}
		text, err := patch(r.latest.Text, resp.Delta, platform.MaxValueBytes)
		if err != nil {
			return RulesFile{}, false
		}
		v.Text = text
	}
	return v, v.Version() == resp.Version
}

// EncodePullRequest encodes the body of a pull-config call.
func EncodePullRequest(r PullRequest) ([]byte, error) { return cbor.Marshal(r) }

// DecodePullRequest decodes the body of a pull-config call.
func DecodePullRequest(b []byte) (r PullRequest, err error) {
	err = cbor.Unmarshal(b, &r)
	return r, err
}

// EncodePullResponse encodes the response to a pull-config call.
func EncodePullResponse(r PullResponse) ([]byte, error) { return cbor.Marshal(r) }

// DecodePullResponse decodes the response to a pull-config call.
func DecodePullResponse(b []byte) (r PullResponse, err error) {
	err = cbor.Unmarshal(b, &r)
	return r, err
}
