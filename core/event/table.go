package event

import "log/slog"

// The events, grouped by hundreds: 1xx process, 2xx requests, 3xx targets,
// 4xx journal, 5xx membership and peers, 6xx configuration, 7xx moves.
var (
	Started           = Event{Number: 101, Name: "started", Level: slog.LevelInfo, Meaning: "The process accepts requests."}
	EmbeddedStore     = Event{Number: 102, Name: "embedded store", Level: slog.LevelWarn, Meaning: "No settings file was given; records are kept in memory and end with the process."}
	ShutdownStarted   = Event{Number: 103, Name: "shutdown begun", Level: slog.LevelInfo, Meaning: "Readiness is down; requests in progress are being finished."}
	ShutdownCompleted = Event{Number: 104, Name: "shutdown done", Level: slog.LevelInfo, Meaning: "All requests in progress have ended."}
	ShutdownForced    = Event{Number: 105, Name: "shutdown cut", Level: slog.LevelError, Meaning: "The drain deadline or a second signal ended the process with requests in progress."}
	SettingsRejected  = Event{Number: 106, Name: "settings rejected", Level: slog.LevelError, Meaning: "The settings file has findings; nothing was started, or the settings in force stay."}
	LogLinesDropped   = Event{Number: 108, Name: "log lines left out", Level: slog.LevelWarn, Meaning: "Lines were left out to keep the log within its rate."}
	SettingsReloaded  = Event{Number: 107, Name: "settings reread", Level: slog.LevelInfo, Meaning: "The settings file changed and is in force, but for what needs a restart."}

	RequestRefused       = Event{Number: 201, Name: "request refused", Level: slog.LevelInfo, Meaning: "A caller received a typed refusal."}
	RequestRetried       = Event{Number: 202, Name: "request retried", Level: slog.LevelInfo, Meaning: "No byte had gone out, so the request was tried at another target."}
	CallerDisconnected   = Event{Number: 203, Name: "caller left", Level: slog.LevelInfo, Meaning: "The caller closed its connection; the request was cancelled."}
	RequestSent          = Event{Number: 206, Name: "request sent", Level: slog.LevelInfo, Meaning: "A request was sent to a target.", Sampled: true}
	RequestAnswered      = Event{Number: 205, Name: "request answered", Level: slog.LevelInfo, Meaning: "A caller has its whole answer.", Sampled: true}
	ResponseAborted      = Event{Number: 204, Name: "answer broken", Level: slog.LevelWarn, Meaning: "An answer that had begun could not be completed; the caller's connection was closed."}
	TargetErrorForwarded = Event{Number: 207, Name: "failure passed on", Level: slog.LevelInfo, Meaning: "A caller received a target's own error answer, which could not be asked for again elsewhere."}

	TargetEjected   = Event{Number: 301, Name: "target ejected", Level: slog.LevelWarn, Meaning: "Failures, slowness or silence removed a target from picking."}
	TargetRestored  = Event{Number: 302, Name: "target restored", Level: slog.LevelInfo, Meaning: "A target passed its trial requests and is picked again."}
	TargetDraining  = Event{Number: 303, Name: "target leaving", Level: slog.LevelInfo, Meaning: "The platform lists the target as leaving; it gets no new work."}
	TargetListStale = Event{Number: 304, Name: "target list stale", Level: slog.LevelWarn, Meaning: "The platform's host list could not be read; the last one stays in use."}

	TargetListChanged = Event{Number: 305, Name: "target listed", Level: slog.LevelInfo, Meaning: "An entry of the list of targets was added, changed or removed."}
	TargetFailure     = Event{Number: 306, Name: "target doubted", Level: slog.LevelInfo, Meaning: "A target failed a request or refused a connection."}

	WriterElected         = Event{Number: 401, Name: "journal writer elected", Level: slog.LevelInfo, Meaning: "This host writes a partition of the journal."}
	WriterRoleLost        = Event{Number: 402, Name: "journal writer lost", Level: slog.LevelWarn, Meaning: "The lease or the log order ended this host's term as writer."}
	AppendOutcomeUnknown  = Event{Number: 403, Name: "append without answer", Level: slog.LevelWarn, Meaning: "The store did not answer a write; it is being read back."}
	RequestOutcomeUnknown = Event{Number: 404, Name: "outcome unknown", Level: slog.LevelError, Meaning: "It cannot be proven whether a claimed request ran."}
	RequestTakenOver      = Event{Number: 405, Name: "request taken over", Level: slog.LevelInfo, Meaning: "A patient request of a dead host continues on this host."}

	MemberSuspected       = Event{Number: 501, Name: "member suspected", Level: slog.LevelWarn, Meaning: "A host did not answer direct and indirect probes."}
	MemberDead            = Event{Number: 502, Name: "member dead", Level: slog.LevelWarn, Meaning: "A suspected host did not refute within the suspicion time."}
	MemberAlive           = Event{Number: 503, Name: "member alive", Level: slog.LevelInfo, Meaning: "A host joined or came back."}
	PeerRejected          = Event{Number: 504, Name: "peer rejected", Level: slog.LevelWarn, Meaning: "A connection without a valid peer certificate was closed."}
	PeerFetchFailed       = Event{Number: 505, Name: "peer state not fetched", Level: slog.LevelWarn, Meaning: "A peer did not hand over its configuration and list of targets."}
	QuotaReservedForPeers = Event{Number: 506, Name: "quota charged for silent peers", Level: slog.LevelWarn, Meaning: "This host grants only its part of what is left of each quota, since other hosts may use theirs without a word; 0 silent peers end that."}

	ConfigApplied    = Event{Number: 601, Name: "configuration adopted", Level: slog.LevelInfo, Meaning: "A newer rules file is in force on this host."}
	ConfigRejected   = Event{Number: 602, Name: "configuration rejected", Level: slog.LevelError, Meaning: "A rules file with findings or an older number was refused."}
	StoreUnreachable = Event{Number: 603, Name: "store unreachable", Level: slog.LevelWarn, Meaning: "The store does not answer; the last configuration stays in force."}
	StoreReachable   = Event{Number: 604, Name: "store reachable", Level: slog.LevelInfo, Meaning: "The store answers again."}

	BecameStoreReader  = Event{Number: 607, Name: "reads the store", Level: slog.LevelInfo, Meaning: "No other host has told this one lately what the store holds, so it reads for itself and tells the others."}
	CheckpointRestored = Event{Number: 605, Name: "checkpoint restored", Level: slog.LevelInfo, Meaning: "This host has read from the store what the hosts knew before it started."}
	CheckpointFailed   = Event{Number: 606, Name: "checkpoint rejected", Level: slog.LevelWarn, Meaning: "The record of what the hosts knew before could not be read or written."}

	MoveStarted     = Event{Number: 701, Name: "move started", Level: slog.LevelInfo, Meaning: "A version move began."}
	MoveAdvanced    = Event{Number: 702, Name: "move stepped", Level: slog.LevelInfo, Meaning: "The share of the new version grew."}
	MoveCompleted   = Event{Number: 703, Name: "move done", Level: slog.LevelInfo, Meaning: "All traffic is on the new version."}
	MoveRolledBack  = Event{Number: 704, Name: "move taken back", Level: slog.LevelError, Meaning: "The new version was judged bad; traffic is back on the old one for good."}
	MoveLate        = Event{Number: 705, Name: "move late", Level: slog.LevelWarn, Meaning: "The move cannot end by its time."}
	MoveStepRetried = Event{Number: 707, Name: "move step retried", Level: slog.LevelWarn, Meaning: "A store call or control command of a move failed and is tried again."}
	VersionHalted   = Event{Number: 706, Name: "version halted", Level: slog.LevelError, Meaning: "This host stopped sending to a version on its own evidence or a peer's word."}
)

// All returns every declared event in the order of its number.
func All() []Event {
	return []Event{
		Started, EmbeddedStore, ShutdownStarted, ShutdownCompleted, ShutdownForced, SettingsRejected, SettingsReloaded, LogLinesDropped,
		RequestRefused, RequestRetried, CallerDisconnected, ResponseAborted, RequestAnswered, RequestSent, TargetErrorForwarded,
		TargetEjected, TargetRestored, TargetDraining, TargetListStale, TargetListChanged, TargetFailure,
		WriterElected, WriterRoleLost, AppendOutcomeUnknown, RequestOutcomeUnknown, RequestTakenOver,
		MemberSuspected, MemberDead, MemberAlive, PeerRejected, PeerFetchFailed, QuotaReservedForPeers,
		ConfigApplied, ConfigRejected, StoreUnreachable, StoreReachable, CheckpointRestored, CheckpointFailed, BecameStoreReader,
		MoveStarted, MoveAdvanced, MoveCompleted, MoveRolledBack, MoveLate, VersionHalted, MoveStepRetried,
	}
}
