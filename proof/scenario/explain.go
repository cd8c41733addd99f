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
	w.hosts.each(func(p *hostProcess) {
		if !p.up() {
			return
		}
		spec := callSpec{organisation: organisation, id: id}
		fmt.Fprintf(&b, "\n    host %s: outcome: %s\n      decisions: %s\n      pools: %+v",
			p.name, w.answerOf(p, spec), p.decisions(organisation, id), p.pools())
	})
	return b.String()
}

// pools returns the state of the host's pools.
func (p *hostProcess) pools() []host.PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return nil
	}
	return p.host.Status().Pools
}

// answerOf returns what the host answers to a question for the outcome.
func (w *world) answerOf(p *hostProcess, spec callSpec) string {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	resp, err := w.get(ctx, p, spec)
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
func (w *world) noteDecisions(found []invariant.Violation) bool {
	noted := false
	for _, v := range found {
		if v.Invariant != invariant.I2 {
			continue
		}
		for _, e := range v.Events {
			if e.Kind != invariant.Dispatched {
				continue
			}
			if at := w.decidedAt(e); !at.IsZero() {
				w.rec.Decide(e, at)
				noted = true
			}
		}
	}
	return noted
}

// decidedAt returns when a live host last decided to send the request to the target,
// zero if none knows of it.
func (w *world) decidedAt(dispatch invariant.Event) time.Time {
	organisation, id, _ := strings.Cut(dispatch.Request, "~")
	var last time.Time
	w.hosts.each(func(p *hostProcess) {
		if !p.up() {
			return
		}
		var x host.Explanation
		if err := json.Unmarshal([]byte(p.decisions(organisation, id)), &x); err != nil {
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
func (p *hostProcess) decisions(organisation, id string) string {
	client, scheme, err := p.operatorClient()
	if err != nil {
		return err.Error()
	}
	p.mu.Lock()
	address := noAddress
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
	return tail(string(body), maxFailureLog)
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
