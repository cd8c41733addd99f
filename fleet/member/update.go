package member

// State is the state of a member. Of two updates with equal incarnation and refutation,
// the one with the greater state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// DeadOrLeft reports whether the member has been declared dead or has left as planned.
func (s State) DeadOrLeft() bool { return s >= Dead }

// Update is the state of a member as announced by some host. It is encoded as a CBOR
// array.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Name identifies the host across restarts.
	Name string
	// Zone and Address are empty in suspect, dead and left updates, because the
	// receiver ignores such updates about unknown members.
	Zone    string
	Address string
	State   State
	// Incarnation increases with every start of the process, Refutation with every
	// suspicion that the running process refutes. They are separate so that no
	// number of refutations orders a process after its successor.
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

// maxNameBytes limits the total length of name, zone and address in an update, so that
// a faulty peer cannot fill the records with long strings.
const maxNameBytes = 512

// valid reports whether the update is well-formed and within the limits.
func (u Update) valid() bool {
	return u.Name != "" && u.State <= Left && len(u.Name)+len(u.Zone)+len(u.Address) <= maxNameBytes
}

// maxEncodedBytes returns an upper bound of the encoded size: the array header, three
// string headers of at most 3 bytes, the state, 9 bytes of incarnation and 5 of
// refutation.
func (u Update) maxEncodedBytes() int {
	return 1 + 3*3 + len(u.Name) + len(u.Zone) + len(u.Address) + 1 + 9 + 5
}

// compact returns the update without the fields that a receiver does not need for a
// member of which it has a record.
func (u Update) compact() Update {
	if u.State != Alive {
		u.Zone, u.Address = "", ""
	}
	return u
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	// Probe requests an Ack with the same Seq.
	Probe Kind = iota
	// Ack is the response to a Probe, or to a ProbeRequest whose target responded.
	Ack
	// ProbeRequest requests that the receiver probe Target and send an Ack if
	// Target responds.
	ProbeRequest
	// Gossip carries updates and requires no response.
	Gossip
)

// Message is a message between members. It is encoded as a CBOR array.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Seq  uint32
	// From is the sender's own record.
	From Update
	// Target is the member to probe in a ProbeRequest and the member that
	// responded in the Ack to one; its Name is empty otherwise.
	Target Update
	// Updates are piggybacked updates about other members.
	Updates []Update
}

// OutgoingMessage is a message to send to the member To. Delivery is best effort.
type OutgoingMessage struct {
	To      string
	Address string
	Message Message
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	BecameAlive EventKind = iota
	BecameSuspect
	BecameDead
	BecameLeft
	// BecameLeaving means that the platform's list names the member as leaving.
	BecameLeaving
	// RecordRemoved means that a dead member's record was removed.
	RecordRemoved
)

// Event is a change in this host's view of a member.
type Event struct {
	Kind   EventKind
	Member Member
}

// Member is a member as seen by this host.
type Member struct {
	Name        string
	Zone        string
	Address     string
	State       State
	Incarnation uint64
	// Leaving means that the platform lists the member as leaving.
	Leaving bool
}

// Output is what the caller must do after an input: send the messages and handle the
// events, both in order.
type Output struct {
	Messages []OutgoingMessage
	Events   []Event
}
