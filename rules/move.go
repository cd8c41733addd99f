package rules

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// moveID names a move by its content. A rollback is final for its id, so a
// second attempt at the same versions needs a new deadline. The share is left
// out, so that an operator can lower it during the move.
func moveID(r *rule) string {
	content := fmt.Sprintf("%s %d %d %s", r.name, r.version, r.toVersion, r.deadline.UTC().Format(time.RFC3339Nano))
	sum := sha256.Sum256([]byte(content))
	return fmt.Sprintf("%s-%d-%d-%x", r.name, r.version, r.toVersion, sum[:4])
}
