package rules

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// moveID derives the id of a move from pool, versions and deadline. A rollback is final
// for its id, so a second attempt with the same versions needs another deadline. The
// share is not part of the id, so that an operator can lower it during the move.
func moveID(r *rule) string {
	content := fmt.Sprintf("%s %d %d %s", r.name, r.version, r.toVersion, r.deadline.UTC().Format(time.RFC3339Nano))
	sum := sha256.Sum256([]byte(content))
	return fmt.Sprintf("%s-%d-%d-%x", r.name, r.version, r.toVersion, sum[:4])
}
