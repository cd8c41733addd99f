package scenario

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"sardinefront.dev/host"
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
	k := p.settings.Keys
	if k.Authority == "" {
		return &http.Client{Timeout: explainTimeout}, "http", nil
	}
	pem, err := os.ReadFile(k.Authority)
	if err != nil {
		return nil, "", err
	}
	pair, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
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
