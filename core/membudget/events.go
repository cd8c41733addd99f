package membudget

// The limits of what is kept of incomplete events of streams, in bytes. A whole event is buffered, so
// that it is either passed on or lost as a whole.
const (
	// MaxEventBytes bounds one event.
	MaxEventBytes = 1 << 20
	// OwnEventBytes may be kept for each stream. What exceeds it comes from sharedEventBytes for all
	// streams of the process: without a common limit, faulty targets that send events without an end
	// on many connections at once would use up the memory of the host.
	OwnEventBytes    = 16 << 10
	sharedEventBytes = 16 << 20
)

// NewForEvents returns a budget for the incomplete events of all streams of the process.
func NewForEvents() *Budget { return New(sharedEventBytes, OwnEventBytes) }
