package event

import "log/slog"

// The events, grouped by hundreds: 1xx process, 2xx requests, 3xx targets,
// 4xx journal, 5xx membership and peers, 6xx configuration, 7xx moves.
var (
	Started           = Event{Number: 101, Name: "started", Level: slog.LevelInfo, Meaning: "The process started and accepts requests."}
	EmbeddedStore     = Event{Number: 102, Name: "embedded store in use", Level: slog.LevelWarn, Meaning: "No store address is configured; records are kept in memory and lost when the process exits."}
	ShutdownStarted   = Event{Number: 103, Name: "shutdown started", Level: slog.LevelInfo, Meaning: "The host reports not ready and is completing the requests in progress."}
	ShutdownCompleted = Event{Number: 104, Name: "shutdown completed", Level: slog.LevelInfo, Meaning: "All requests in progress ended before the process exited."}
	ShutdownForced    = Event{Number: 105, Name: "shutdown forced", Level: slog.LevelError, Meaning: "The drain deadline or a second signal ended the process with requests in progress."}
	SettingsRejected  = Event{Number: 106, Name: "settings rejected", Level: slog.LevelError, Meaning: "The settings file has errors. At startup the process exits; on a reload the active settings stay."}
	LogLinesDropped   = Event{Number: 108, Name: "log lines dropped", Level: slog.LevelWarn, Meaning: "Log lines were dropped to stay within the rate limit (rate) or because the buffer was full (buffer)."}
	LoopPanicked      = Event{Number: 109, Name: "loop panicked", Level: slog.LevelError, Meaning: "A background loop panicked and runs again. The line carries the stack."}
	SettingsReloaded  = Event{Number: 107, Name: "settings reloaded", Level: slog.LevelInfo, Meaning: "The settings file changed and was applied, except for settings that need a restart."}

	RequestRefused       = Event{Number: 201, Name: "request refused", Level: slog.LevelInfo, Meaning: "A request was refused with a reason. If it was sent, the line states what the last target has sent."}
	RequestRetried       = Event{Number: 202, Name: "request retried", Level: slog.LevelInfo, Meaning: "An attempt failed and the request is tried again. A request that must not run twice is tried again only if it did not run."}
	CallerDisconnected   = Event{Number: 203, Name: "caller disconnected", Level: slog.LevelInfo, Meaning: "The caller closed its connection; the request was cancelled."}
	RequestSent          = Event{Number: 206, Name: "request sent", Level: slog.LevelInfo, Meaning: "A request was sent to a target.", Sampled: true}
	RequestAnswered      = Event{Number: 205, Name: "request answered", Level: slog.LevelInfo, Meaning: "A caller received its complete response.", Sampled: true}
	ResponseAborted      = Event{Number: 204, Name: "answer broken", Level: slog.LevelWarn, Meaning: "A response that had begun could not be completed for the given reason; the connection to the caller was closed. The line states the time left until the deadline and what the last target has sent."}
	TargetErrorForwarded = Event{Number: 207, Name: "target error forwarded", Level: slog.LevelInfo, Meaning: "A target's own error response was forwarded to the caller because the request could not be retried."}
	RequestPanicked      = Event{Number: 208, Name: "request panicked", Level: slog.LevelError, Meaning: "The handler of a request panicked; the request was ended and its slot and quota returned. The line carries the stack."}
	ClientConnClosed     = Event{Number: 225, Name: "client connection closed", Level: slog.LevelWarn, Meaning: "A connection was closed at a bound of its listener: too many connections (full), or a request head with too many lines or bytes (head).", Sampled: true}

	TargetEjected   = Event{Number: 301, Name: "target ejected", Level: slog.LevelWarn, Meaning: "A target was ejected because of failures, slowness or timeouts."}
	TargetRestored  = Event{Number: 302, Name: "target restored", Level: slog.LevelInfo, Meaning: "An ejected target passed its probe requests and receives requests again."}
	TargetDraining  = Event{Number: 303, Name: "target draining", Level: slog.LevelInfo, Meaning: "The platform lists the target as leaving; it receives no new requests."}
	TargetListStale = Event{Number: 304, Name: "target list stale", Level: slog.LevelWarn, Meaning: "The platform's host list could not be read; the last list stays in use."}

	TargetListChanged     = Event{Number: 305, Name: "target list changed", Level: slog.LevelInfo, Meaning: "An entry of the target list was added, changed or removed."}
	TargetSilent          = Event{Number: 307, Name: "target silent", Level: slog.LevelInfo, Meaning: "A target has not answered, or not gone on with its stream, for longer than expected. The request stays there while another target is sought."}
	TargetResponsive      = Event{Number: 308, Name: "target responsive", Level: slog.LevelInfo, Meaning: "A silent target went on with the request before another target took it over. found tells whether one had been found."}
	TargetFailure         = Event{Number: 306, Name: "target failure", Level: slog.LevelInfo, Meaning: "A request to a target failed, was ended by this host or its caller, or its connection was refused. The line states the reason, the time left until the deadline and what the target has sent."}
	PromptPartSuspected   = Event{Number: 309, Name: "prompt part suspected", Level: slog.LevelWarn, Meaning: "Several targets crashed under requests with this part of a prompt, and no response with it has begun since."}
	PromptPartQuarantined = Event{Number: 310, Name: "prompt part quarantined", Level: slog.LevelError, Meaning: "Requests with this part of a prompt crash targets and are refused. The line states the crashes and whether a peer's report decided it."}
	PromptPartReleased    = Event{Number: 311, Name: "prompt part released", Level: slog.LevelInfo, Meaning: "Requests with this part of a prompt are sent again, because a response with it began or the evidence expired."}
	TargetClosed          = Event{Number: 312, Name: "target closed", Level: slog.LevelInfo, Meaning: "This host sends a target no new requests, because the target is leaving or has asked for a back-off. The line names the source, the age and the end of the back-off."}
	TargetReopened        = Event{Number: 313, Name: "target reopened", Level: slog.LevelInfo, Meaning: "A target that was leaving no longer is, and receives requests again."}
	RetryAfterRejected    = Event{Number: 314, Name: "retry-after rejected", Level: slog.LevelWarn, Meaning: "A target's Retry-After was unreadable, negative or too long and was ignored.", Sampled: true}
	LoadReportUnreadable  = Event{Number: 315, Name: "load report unreadable", Level: slog.LevelWarn, Meaning: "A target's load report could not be read and is ignored. It is logged once per target; a counter counts all."}
	TargetPaced           = Event{Number: 316, Name: "target paced", Level: slog.LevelInfo, Meaning: "A target is cold, has just started or has just recovered; this host sends it few requests until it responds in time.", Sampled: true}
	TargetAtFullPace      = Event{Number: 317, Name: "target at full pace", Level: slog.LevelInfo, Meaning: "A paced target receives requests without that limit.", Sampled: true}

	WriterElected         = Event{Number: 401, Name: "journal writer elected", Level: slog.LevelInfo, Meaning: "This host became the writer of a journal partition."}
	WriterRoleLost        = Event{Number: 402, Name: "journal writer role lost", Level: slog.LevelWarn, Meaning: "This host is no longer the writer of a journal partition: its lease ended or another writer appended to the log."}
	AppendOutcomeUnknown  = Event{Number: 403, Name: "append outcome unknown", Level: slog.LevelWarn, Meaning: "The store did not respond to a write; the write is being read back."}
	RequestOutcomeUnknown = Event{Number: 404, Name: "outcome unknown", Level: slog.LevelError, Meaning: "It cannot be proven whether a claimed request ran."}
	RequestTakenOver      = Event{Number: 405, Name: "request taken over", Level: slog.LevelInfo, Meaning: "A patient request of a failed host continues on this host."}

	MemberSuspected       = Event{Number: 501, Name: "member suspected", Level: slog.LevelWarn, Meaning: "A host answered neither direct nor indirect probes."}
	MemberDead            = Event{Number: 502, Name: "member dead", Level: slog.LevelWarn, Meaning: "A suspected host did not refute the suspicion in time."}
	MemberAlive           = Event{Number: 503, Name: "member alive", Level: slog.LevelInfo, Meaning: "A host joined or recovered."}
	PeerRejected          = Event{Number: 504, Name: "peer rejected", Level: slog.LevelWarn, Meaning: "A connection without a valid peer certificate was closed."}
	PeerFetchFailed       = Event{Number: 505, Name: "peer state fetch failed", Level: slog.LevelWarn, Meaning: "The configuration and target list could not be fetched from a peer."}
	QuotaReservedForPeers = Event{Number: 506, Name: "quota reserved for unresponsive peers", Level: slog.LevelWarn, Meaning: "This host grants only its share of what remains of each quota, because unresponsive hosts may use theirs unreported. An event with 0 silent peers ends the restriction."}

	ConfigApplied    = Event{Number: 601, Name: "configuration applied", Level: slog.LevelInfo, Meaning: "A newer configuration is active on this host."}
	ConfigRejected   = Event{Number: 602, Name: "configuration rejected", Level: slog.LevelError, Meaning: "A configuration or a version move that cannot be read, has errors or has an older number was rejected."}
	StoreUnreachable = Event{Number: 603, Name: "store unreachable", Level: slog.LevelWarn, Meaning: "The store does not respond; the last configuration stays active."}
	StoreReachable   = Event{Number: 604, Name: "store reachable", Level: slog.LevelInfo, Meaning: "The store responds again."}

	BecameStoreReader     = Event{Number: 607, Name: "became store reader", Level: slog.LevelInfo, Meaning: "No other host sent store updates in time, so this host reads the store and sends the updates to the others."}
	TargetEntryUnreadable = Event{Number: 608, Name: "target entry unreadable", Level: slog.LevelWarn, Meaning: "An entry of the list of targets has been replaced by one that cannot be decoded or is implausible. Its target gets no requests until the entry is repaired."}
	CheckpointRestored    = Event{Number: 605, Name: "checkpoint restored", Level: slog.LevelInfo, Meaning: "This host restored the checkpoint that the hosts had saved in the store before it started."}
	CheckpointFailed      = Event{Number: 606, Name: "checkpoint failed", Level: slog.LevelWarn, Meaning: "A checkpoint could not be read or written."}

	ZoneEvacuated = Event{Number: 609, Name: "zone evacuated", Level: slog.LevelWarn, Meaning: "The operator has evacuated an availability zone: its targets get no requests until the order is deleted."}
	ZoneReopened  = Event{Number: 610, Name: "zone reopened", Level: slog.LevelInfo, Meaning: "The operator has deleted the evacuation of an availability zone: its targets may get requests again."}
	StoreRestored = Event{Number: 611, Name: "store restored from an older copy", Level: slog.LevelWarn, Meaning: "The store has come back from an older copy of its content. This host keeps its targets and orders until operator and targets have written theirs again, and lists everything anew."}

	RemovalsUnconfirmed = Event{Number: 612, Name: "removals unconfirmed", Level: slog.LevelWarn, Meaning: "The store responds to a host again, after no host of which this one knows has read it for the stated time. Entries of live targets may have expired, so targets whose entries are removed stay in use until the live ones are listed again."}
	RemovalDelayed      = Event{Number: 613, Name: "removal delayed", Level: slog.LevelInfo, Meaning: "The entry of a target was removed after an outage of the store. The target stays in use until a later read of the store confirms the removal, or until it is listed again."}
	OutageRefuted       = Event{Number: 614, Name: "outage refuted", Level: slog.LevelInfo, Meaning: "A peer has read the store throughout what this host took for an outage: the host was only cut off itself. Removals are no longer delayed."}

	MoveStarted     = Event{Number: 701, Name: "move started", Level: slog.LevelInfo, Meaning: "A version move started, or the deadline of a running move changed."}
	MoveAdvanced    = Event{Number: 702, Name: "move advanced", Level: slog.LevelInfo, Meaning: "The traffic share of the new version was raised by one step."}
	MoveCompleted   = Event{Number: 703, Name: "move completed", Level: slog.LevelInfo, Meaning: "All traffic goes to the new version."}
	MoveRolledBack  = Event{Number: 704, Name: "move rolled back", Level: slog.LevelError, Meaning: "A move ended and all traffic returned to the old version, because the new version was found to be bad or the rule of the move was removed. The move does not resume."}
	MoveLate        = Event{Number: 705, Name: "move late", Level: slog.LevelWarn, Meaning: "A move cannot complete before its deadline, or was refused."}
	MoveStepRetried = Event{Number: 707, Name: "move step retried", Level: slog.LevelWarn, Meaning: "A store call or control command of a move failed and is retried."}
	MoveEvidence    = Event{Number: 708, Name: "move evidence", Level: slog.LevelInfo, Meaning: "The current comparison of the versions' speeds in a running move, once a second."}
	VersionHalted   = Event{Number: 706, Name: "version halted", Level: slog.LevelError, Meaning: "This host stopped sending requests to a version, on its own measurements or on a peer's report."}
)

// All returns every declared event, grouped by hundreds like the declarations.
func All() []Event {
	return []Event{
		Started, EmbeddedStore, ShutdownStarted, ShutdownCompleted, ShutdownForced, SettingsRejected, SettingsReloaded, LogLinesDropped, LoopPanicked,
		RequestRefused, RequestRetried, CallerDisconnected, ResponseAborted, RequestAnswered, RequestSent, TargetErrorForwarded, RequestPanicked, ClientConnClosed,
		TargetEjected, TargetRestored, TargetDraining, TargetListStale, TargetListChanged, TargetFailure, TargetSilent, TargetResponsive, PromptPartSuspected, PromptPartQuarantined, PromptPartReleased, TargetClosed, TargetReopened, RetryAfterRejected, LoadReportUnreadable, TargetPaced, TargetAtFullPace,
		WriterElected, WriterRoleLost, AppendOutcomeUnknown, RequestOutcomeUnknown, RequestTakenOver,
		MemberSuspected, MemberDead, MemberAlive, PeerRejected, PeerFetchFailed, QuotaReservedForPeers,
		ConfigApplied, ConfigRejected, StoreUnreachable, StoreReachable, CheckpointRestored, CheckpointFailed, BecameStoreReader, TargetEntryUnreadable, ZoneEvacuated, ZoneReopened, StoreRestored, RemovalsUnconfirmed, RemovalDelayed, OutageRefuted,
		MoveStarted, MoveAdvanced, MoveCompleted, MoveRolledBack, MoveLate, VersionHalted, MoveStepRetried, MoveEvidence,
	}
}
