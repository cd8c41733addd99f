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

// explainTimeout bounds one question to a host's operator interface.
const explainTimeout = 2 * time.Second

// explain returns what the live hosts know about a request, for the log of a
// failed scenario.
func (w *world) explain(key string) string {
	organisation, id, _ := strings.Cut(key, "~")
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

// pools returns the state of the host's pools.
func (p *hostProcess) poolStatuses() []host.PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return nil
	}
	return p.host.Status().Pools
}

// answerOf returns what the host answers to a question for the outcome.
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

// noteDecisions records when hosts decided on the dispatches that break the order of
// shedding, and reports whether it found any: on a busy machine, a target may start
// work much later than it was sent. A decision that the hosts no longer know leaves
// the violation as it is.
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

// decidedAt returns when a live host last decided to send the request to the target,
// zero if none knows of it.
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

// decisions asks the host's operator interface about a request.
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

// operatorClient uses the host's own certificate, which its authority signed.
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
