package telemetry

import (
	"fmt"
	"io"
	"strings"

	"sardinefront.dev/core/refusal"
)

// WriteCatalogue writes the content of docs/metrics.md.
func WriteCatalogue(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" +
		"The operator interface serves the metrics at `/metrics` in the Prometheus text format.\n" +
		"There the names of counters end in `_total` and those of histograms carry the unit.\n" +
		"`make docs` generates these tables from `core/telemetry` and `core/refusal`.\n\n" +
		"| name | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range Specs {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.Kind, s.Unit, strings.Join(s.Labels, ", "), s.Meaning)
	}
	b.WriteString("\n## Refusal reasons\n\n" +
		"The values of the label `reason`, the header `Sardinefront-Reason` and the log field\n" +
		"`reason`. The column ran is the default of the header `Sardinefront-Ran`; a refusal\n" +
		"can override it.\n\n| reason | status | ran |\n| --- | --- | --- |\n")
	for _, r := range refusal.Reasons() {
		fmt.Fprintf(&b, "| `%s` | %d | `%s` |\n", r, r.Status(), r.DefaultRunState())
	}
	b.WriteString("\n## Retry reasons\n\nA request that must not run twice is retried only if it provably did not run.\n\n")
	for _, r := range refusal.RetryReasons() {
		fmt.Fprintf(&b, "- `%s`\n", r)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
