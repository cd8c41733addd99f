package ctl

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"sardinefront.dev/core/request"
	"sardinefront.dev/gateway/requestlog"
	"sardinefront.dev/host"
)

// operatorTimeout is the timeout of a call to a host's operator interface.
const operatorTimeout = 10 * time.Second

// hostClient returns an HTTP client for the operator interface of the host, and its base
// URL.
func (e *env) hostClient() (*http.Client, string, error) {
	if e.keys.authority == "" {
		return &http.Client{Timeout: operatorTimeout}, "http://" + e.host, nil
	}
	pem, err := os.ReadFile(e.keys.authority)
	if err != nil {
		return nil, "", fmt.Errorf("--authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, "", fmt.Errorf("--authority: %s contains no PEM certificate", e.keys.authority)
	}
	pair, err := tls.LoadX509KeyPair(e.keys.certificate, e.keys.key)
	if err != nil {
		return nil, "", fmt.Errorf("--certificate, --key: %w", err)
	}
	c := &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS13,
		// Hosts are reached by IP address and certified by name, so the chain is
		// verified here and the address is not compared.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, roots) },
	}
	return &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{TLSClientConfig: c}}, "https://" + e.host, nil
}

func verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	return err
}

// callHost sends a request to the operator interface of the host and decodes the JSON
// response into v.
func (e *env) callHost(method, path string, v any) error {
	client, base, err := e.hostClient()
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, base+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("host %s: %w", e.host, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("host %s: %w", e.host, err)
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("host %s: status %d: %s", e.host, resp.StatusCode, body)
	}
	return json.Unmarshal(body, v)
}

func (e *env) writeJSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeTable writes tab-separated rows as aligned columns.
func (e *env) writeTable(rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func statusCommand() command {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "Shows the pools, queues and configuration of a host."
	return command{sub: sub, run: func(e *env) error {
		var s host.Status
		if err := e.callHost(http.MethodGet, "/v1/status", &s); err != nil {
			return err
		}
		if e.output == "json" {
			return e.writeJSON(s)
		}
		return e.writeTable(func(w io.Writer) { writeStatus(w, s) })
	}}
}

func writeStatus(w io.Writer, s host.Status) {
	fmt.Fprintf(w, "host\tzone\tready\tin progress\trules\tauthor\tsince\n")
	fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%s\t%s\n\n", s.Host, s.Zone, s.Ready, s.Active, s.Revision, s.Author, s.Since.Format(time.RFC3339))
	fmt.Fprintf(w, "pool\ttargets\tejected\tfloor\ttier\twaiting\trunning\n")
	sort.Slice(s.Pools, func(i, j int) bool { return s.Pools[i].Name < s.Pools[j].Name })
	for _, p := range s.Pools {
		for t := request.Tier(0); t < request.TierCount; t++ {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\t%d\n", p.Name, p.Targets, p.Ejected, p.Floor, t, p.Waiting[t], p.Running[t])
		}
	}
	writeClosedTargets(w, s.Pools)
	if len(s.Members) > 0 {
		fmt.Fprintf(w, "\nmember\tzone\tstate\tleaving\n")
	}
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", m.Name, m.Zone, m.State, m.Leaving)
	}
}

// writeClosedTargets writes the targets that receive no new requests, and why.
func writeClosedTargets(w io.Writer, pools []host.PoolStatus) {
	header := "\npool\tclosed target\treason\tsource\tsince\tuntil\n"
	for _, p := range pools {
		for _, c := range p.Closed {
			fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%s\t%s\n", header, p.Name, c.Target, c.Reason, c.Source, formatTime(c.Since), formatTime(c.Until))
			header = ""
		}
	}
}

// formatTime returns an empty string for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339)
}

func explainCommand() command {
	id, organisation := "", ""
	var files []string
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Shows what happened to a request and why: from logs, or from a running host if an organisation is given."
	sub.AddPositionalValue(&id, "request-id", 1, true, "request id that the caller sent")
	sub.AddPositionalValue(&organisation, "organisation", 2, false, "organisation of the request; if given, the host is queried for its decisions and the journal record")
	sub.StringSlice(&files, "l", "logs", "log file of a host, may be repeated; default is standard input unless an organisation is given")
	return command{sub: sub, run: func(e *env) error {
		if organisation == "" || len(files) > 0 {
			return explainFromLogFiles(e.out, id, files)
		}
		return explainFromHost(e, organisation, id)
	}}
}

func causesCommand() command {
	var files, ids []string
	sub := flaggy.NewSubcommand("causes")
	sub.Description = "Counts from logs, by cause, the requests that were not served. Fails if the logs lack the cause of a request."
	sub.StringSlice(&files, "l", "logs", "log file of one or more hosts, may be repeated; default is standard input")
	sub.StringSlice(&ids, "i", "id", "id of a request to include, may be repeated; default is all requests that were not served")
	return command{sub: sub, run: func(e *env) error {
		log, err := readLogs(files)
		if err != nil {
			return err
		}
		unexplained, all := log.WriteCauses(e.out, ids)
		fmt.Fprintf(e.out, "the logs state the cause of %d of %d requests\n", all-unexplained, all)
		if unexplained > 0 {
			return fmt.Errorf("the logs do not state the cause of %d of %d requests", unexplained, all)
		}
		return nil
	}}
}

func readLogs(files []string) (*requestlog.Log, error) {
	log := requestlog.NewLog()
	if len(files) == 0 {
		if err := log.Add(os.Stdin); err != nil {
			return nil, fmt.Errorf("standard input: %w", err)
		}
	}
	for _, name := range files {
		if err := addLogFile(log, name); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return log, nil
}

func addLogFile(log *requestlog.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return log.Add(f)
}

// explainFromLogFiles writes the timeline of a request from log files, or from standard input if
// there are none.
func explainFromLogFiles(out io.Writer, id string, files []string) error {
	var lines []requestlog.Line
	if len(files) == 0 {
		found, err := requestlog.ReadLines(os.Stdin, id)
		if err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
		lines = found
	}
	for _, name := range files {
		found, err := readLogFile(name, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	requestlog.WriteTimeline(out, id, lines)
	return nil
}

func readLogFile(name, id string) ([]requestlog.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines, err := requestlog.ReadLines(f, id)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

func explainFromHost(e *env, organisation, id string) error {
	var found host.Explanation
	if err := e.callHost(http.MethodGet, "/v1/explain/"+organisation+"/"+id, &found); err != nil {
		return err
	}
	if e.output == "json" {
		return e.writeJSON(found)
	}
	return e.writeTable(func(w io.Writer) { writeExplanation(w, found) })
}

func writeExplanation(w io.Writer, found host.Explanation) {
	if len(found.Decisions) > 0 {
		fmt.Fprintf(w, "at\taction\ttarget\twhy\tconsidered (cost in ms)\n")
	}
	for _, d := range found.Decisions {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t", d.At.Format(time.RFC3339Nano), d.Kind, d.Target, d.Why)
		for _, a := range d.Considered {
			fmt.Fprintf(w, "%s=%.1f ", a.Target, a.Cost)
		}
		fmt.Fprintln(w)
	}
	if r := found.Record; r != nil {
		fmt.Fprintf(w, "\nrecord\thost\tincarnation\ttarget\tfence\treleased attempts\tchanged\treason\n")
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%s\t%s\n", r.Phase, r.Host, r.Incarnation, r.Target, r.Fence,
			r.ReleasedAttempts, r.Changed.UTC().Format(time.RFC3339Nano), r.Reason)
	}
}

func movesCommand() command {
	sub := flaggy.NewSubcommand("moves")
	sub.Description = "Shows the version move of each pool: its phase, step and traffic share, whether it is late, and the reason."
	return command{sub: sub, run: func(e *env) error {
		var found []host.MoveStatus
		if err := e.callHost(http.MethodGet, "/v1/moves", &found); err != nil {
			return err
		}
		if e.output == "json" {
			return e.writeJSON(found)
		}
		return e.writeTable(func(w io.Writer) {
			fmt.Fprintln(w, "pool\tmove\tfrom\tto\tby\tphase\tstep\tshare\tlate\treason")
			for _, m := range found {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%.0f%%\t%t\t%s\n", m.Pool, m.ID, m.From, m.To, m.By.Format(time.RFC3339),
					m.Phase, m.Step+1, m.Steps, 100*m.Shares[request.Patient], m.Late, cmp.Or(m.Halted, m.Reason))
			}
		})
	}}
}

func drainCommand() command {
	sub := flaggy.NewSubcommand("drain")
	sub.Description = "Drains a host: it reports not ready, completes the requests in progress and stops."
	return command{sub: sub, run: func(e *env) error {
		var response map[string]int64
		if err := e.callHost(http.MethodPost, "/v1/drain", &response); err != nil {
			return err
		}
		fmt.Fprintf(e.out, "draining %s: %d requests in progress\n", e.host, response["in_progress"])
		return nil
	}}
}
