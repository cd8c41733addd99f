package member

// State is what the fleet believes about a member. At equal incarnation and
// refutation the greater state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Gone reports whether the member is out of use: dead, or left on purpose.
func (s State) DeadOrLeft() bool { return s >= Dead }

// Update is one statement about a member. It is encoded as a CBOR array.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Name identifies the host; a restart keeps it.
	Name string
	// Zone and Address are empty in suspect, dead and left updates, which only
	// concern members that the receiver already knows.
	Zone    string
	Address string
	State   State
	// Incarnation grows with every start of the process, Refutation with every
	// suspicion that a running process denies. They are separate so that no
	// number of denials orders a process after its successor.
	Incarnation uint64
	Refutation  uint32
}

// Supersedes reports whether u is newer than o. It is a strict order over
// (Incarnation, Refutation, State).
func (u Update) Supersedes(o Update) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation > o.Incarnation
	}
	if u.Refutation != o.Refutation {
		return u.Refutation > o.Refutation
	}
	return u.State > o.State
}

// maxNames bounds the names in an update together. It keeps a faulty peer from
// filling the records with long strings.
const maxNames = 512

// valid reports whether the update can be recorded.
func (u Update) valid() bool {
	return u.Name != "" && u.State <= Left && len(u.Name)+len(u.Zone)+len(u.Address) <= maxNames
}

// size is an upper bound of the encoded bytes: the array header, three string
// headers of at most 3 bytes, the state, 9 bytes of incarnation and 5 of
// refutation.
func (u Update) size() int {
	return 1 + 3*3 + len(u.Name) + len(u.Zone) + len(u.Address) + 1 + 9 + 5
}

// trimmed drops what a receiver does not need for a member that it knows.
func (u Update) trimmed() Update {
	if u.State != Alive {
		u.Zone, u.Address = "", ""
	}
	return u
}

// Kind says what a message asks for.
type Kind uint8

// The kinds of messages.
const (
	// Probe asks for an Ack with the same Seq.
	Probe Kind = iota
	// Ack answers a Probe, or a ProbeRequest whose target answered.
	Ack
	// ProbeRequest asks the receiver to probe Target and to acknowledge for it.
	ProbeRequest
	// Notice carries updates and asks for nothing.
	Gossip
)

// Message is what members exchange. It is encoded as a CBOR array.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Seq  uint32
	// From is the sender's own record.
	From Update
	// Target is the member to probe in a ProbeRequest and the member that
	// answered in the Ack to one; its Name is empty otherwise.
	Target Update
	// Updates are piggybacked statements about other members.
	Updates []Update
}

// Send is a message to deliver. Delivery may fail without notice.
type OutgoingMessage struct {
	Name    string
	Address string
	Message Message
}

// EventKind says what happened to a member.
type EventKind uint8

// The kinds of events.
const (
	BecameAlive EventKind = iota
	BecameSuspect
	BecameDead
	BecameLeft
	// BecameLeaving means that the platform's list names the member as leaving.
	BecameLeaving
	// WasForgotten means that a dead member's record was removed.
	RecordRemoved
)

// Event is a change in the local view.
type Event struct {
	Kind   EventKind
	Member Member
}

// Member is one member as seen locally.
type Member struct {
	Name        string
	Zone        string
	Address     string
	State       State
	Incarnation uint64
	// Leaving is set from the platform's list.
	Leaving bool
}

// Output is what the caller has to do after an input: send the messages and
// handle the events, both in order.
type Output struct {
	Messages []OutgoingMessage
	Events   []Event
}
