package scenario

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"sardinefront.dev/host"
	"sardinefront.dev/proof/invariant"
	"sardinefront.dev/sched/pool"
)

// explainTimeout bounds one request to a host's operator interface.
const explainTimeout = 2 * time.Second

// explain returns the outcome and the scheduling decisions that the live hosts report
// for a request, with the state of their pools, for the log of a failed scenario.
func (w *world) explain(qualifiedID string) string {
	organisation, id, _ := strings.Cut(qualifiedID, "~")
	var b strings.Builder
	w.hosts.forEach(func(p *hostProcess) {
		if !p.isRunning() {
			return
		}
		spec := callSpec{organisation: organisation, id: id}
		fmt.Fprintf(&b, "\n    host %s: outcome: %s\n      decisions: %s\n      pools: %+v",
			p.name, w.outcomeResponse(p, spec), p.fetchDecisions(organisation, id), p.poolStatuses())
	})
	return b.String()
}

// poolStatuses returns the state of the host's pools, nil if the host is down.
func (p *hostProcess) poolStatuses() []host.PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return nil
	}
	return p.host.Status().Pools
}

// outcomeResponse returns the host's response to a request for the outcome, or the
// text of the error.
func (w *world) outcomeResponse(p *hostProcess, spec callSpec) string {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	resp, err := w.requestOutcome(ctx, p, spec)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s %.500s", resp.Status, body)
}

// recordDecisionTimes records when hosts decided on the dispatches that violate I2,
// and reports whether it found any such time. Under load, a target may start a request
// much later than the host sent it, which is no violation. If the hosts no longer have
// a record of the decision, the violation stands.
func (w *world) recordDecisionTimes(found []invariant.Violation) bool {
	recorded := false
	for _, v := range found {
		if v.Invariant != invariant.I2 {
			continue
		}
		for _, e := range v.Events {
			if e.Kind != invariant.Dispatched {
				continue
			}
			if at := w.lastDispatchDecision(e); !at.IsZero() {
				w.rec.SetDecidedAt(e, at)
				recorded = true
			}
		}
	}
	return recorded
}

// lastDispatchDecision returns when a live host last decided to send the request to
// the target, zero if none has a record of it.
func (w *world) lastDispatchDecision(dispatch invariant.Event) time.Time {
	organisation, id, _ := strings.Cut(dispatch.Request, "~")
	var last time.Time
	w.hosts.forEach(func(p *hostProcess) {
		if !p.isRunning() {
			return
		}
		var x host.Explanation
		if err := json.Unmarshal([]byte(p.fetchDecisions(organisation, id)), &x); err != nil {
			return
		}
		for _, d := range x.Decisions {
			if d.Kind == pool.Dispatch && d.Target == dispatch.Target && d.At.After(last) {
				last = d.At
			}
		}
	})
	return last
}

// fetchDecisions returns the response of the host's operator interface to an explain
// request, or the text of the error.
func (p *hostProcess) fetchDecisions(organisation, id string) string {
	client, scheme, err := p.operatorClient()
	if err != nil {
		return err.Error()
	}
	p.mu.Lock()
	address := unreachableAddress
	if p.host != nil {
		address = p.host.OperatorAddress()
	}
	p.mu.Unlock()
	resp, err := client.Get(scheme + "://" + address + "/v1/explain/" + organisation + "/" + id)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return lastBytes(string(body), maxFailureLogBytes)
}

// operatorClient returns a client for the host's operator interface and the URL scheme.
// The client uses the host's own certificate, which the host's authority signed; a host
// without certificates serves plain HTTP.
func (p *hostProcess) operatorClient() (*http.Client, string, error) {
	k := p.settings.KeyFiles
	if k.CA == "" {
		return &http.Client{Timeout: explainTimeout}, "http", nil
	}
	pem, err := os.ReadFile(k.CA)
	if err != nil {
		return nil, "", err
	}
	pair, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return nil, "", err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
		RootCAs: roots, Certificates: []tls.Certificate{pair}, ServerName: p.name, MinVersion: tls.VersionTLS13,
	}}
	return &http.Client{Timeout: explainTimeout, Transport: transport}, "https", nil
}
