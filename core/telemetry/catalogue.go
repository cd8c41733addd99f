package telemetry

import (
	"fmt"
	"io"
	"strings"

	"sardinefront.dev/core/refusal"
)

// WriteCatalogue writes docs/metrics.md.
func WriteCatalogue(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" +
		"The operator interface serves them at `/metrics` in the Prometheus text format.\n" +
		"Counters end in `_total` there and histograms carry their unit. The tables are\n" +
		"written from `core/telemetry` and `core/refusal` by `make docs`.\n\n" +
		"| name | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range Specs {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.Kind, s.Unit, strings.Join(s.Labels, ", "), s.Meaning)
	}
	b.WriteString("\n## Refusal reasons\n\n" +
		"The label `reason`, the header `Sardinefront-Reason` and the log field `reason`.\n" +
		"The column ran is what the header `Sardinefront-Ran` says unless the refusal\n" +
		"itself knows better.\n\n| reason | status | ran |\n| --- | --- | --- |\n")
	for _, r := range refusal.Reasons() {
		fmt.Fprintf(&b, "| `%s` | %d | `%s` |\n", r, r.Status(), r.DefaultRunState())
	}
	b.WriteString("\n## Retry reasons\n\nA request is retried only where no byte of it went out.\n\n")
	for _, r := range refusal.RetryReasons() {
		fmt.Fprintf(&b, "- `%s`\n", r)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
