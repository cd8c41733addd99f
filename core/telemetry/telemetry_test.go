package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"sardinefront.dev/core/internal/golden"
	"sardinefront.dev/core/refusal"
)

// Guards against a docs/metrics.md that was not regenerated after a change of the code.
func TestCatalogueMatchesPage(t *testing.T) {
	golden.Compare(t, "../..", "metrics.md", WriteCatalogue)
}

// Guards against a refusal or retry reason that has no series before its first occurrence: an
// alert on an absent series never fires.
func TestEveryReasonHasASeriesAtZero(t *testing.T) {
	m, err := New()
	if err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	page := rec.Body.String()
	for _, r := range refusal.Reasons() {
		if !strings.Contains(page, `reason="`+r.String()+`",tier="urgent"`) {
			t.Errorf("no series for refusal reason %s", r)
		}
	}
	for _, r := range refusal.RetryReasons() {
		if !strings.Contains(page, `sardinefront_retries_total{reason="`+r.String()+`"} 0`) {
			t.Errorf("no series for retry reason %s", r)
		}
	}
}
