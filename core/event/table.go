package event

import "log/slog"

// The events, grouped by hundreds: 1xx process, 2xx requests, 3xx targets,
// 4xx journal, 5xx membership and peers, 6xx configuration, 7xx moves.
var (
	Started          = Event{101, "started", slog.LevelInfo, "The process accepts requests."}
	EmbeddedStore    = Event{102, "embedded store", slog.LevelWarn, "No settings file was given; records are kept in memory and end with the process."}
	ShutdownBegun    = Event{103, "shutdown begun", slog.LevelInfo, "Readiness is down; requests in progress are being finished."}
	ShutdownDone     = Event{104, "shutdown done", slog.LevelInfo, "All requests in progress have ended."}
	ShutdownCut      = Event{105, "shutdown cut", slog.LevelError, "The drain deadline or a second signal ended the process with requests in progress."}
	SettingsRejected = Event{106, "settings rejected", slog.LevelError, "The settings file has findings; nothing was started."}
	SettingsReread   = Event{107, "settings reread", slog.LevelInfo, "The settings file was read again."}

	RequestRefused  = Event{201, "request refused", slog.LevelInfo, "A caller received a typed refusal."}
	RequestRetried  = Event{202, "request retried", slog.LevelInfo, "No byte had gone out, so the request was tried at another target."}
	CallerLeft      = Event{203, "caller left", slog.LevelInfo, "The caller closed its connection; the request was cancelled."}
	RequestAnswered = Event{205, "request answered", slog.LevelInfo, "A caller has its whole answer."}
	AnswerBroken    = Event{204, "answer broken", slog.LevelWarn, "An answer that had begun could not be completed; the caller's connection was closed."}

	TargetEjected   = Event{301, "target ejected", slog.LevelWarn, "Failures, slowness or silence removed a target from picking."}
	TargetRestored  = Event{302, "target restored", slog.LevelInfo, "A target passed its trial requests and is picked again."}
	TargetLeaving   = Event{303, "target leaving", slog.LevelInfo, "The platform lists the target as leaving; it gets no new work."}
	TargetListStale = Event{304, "target list stale", slog.LevelWarn, "The platform's host list could not be read; the last one stays in use."}

	TargetListed  = Event{305, "target listed", slog.LevelInfo, "An entry of the list of targets was added, changed or removed."}
	TargetDoubted = Event{306, "target doubted", slog.LevelInfo, "A target failed a request or refused a connection."}

	WriterElected  = Event{401, "journal writer elected", slog.LevelInfo, "This host writes a partition of the journal."}
	WriterLost     = Event{402, "journal writer lost", slog.LevelWarn, "The lease or the log order ended this host's term as writer."}
	AppendUnknown  = Event{403, "append without answer", slog.LevelWarn, "The store did not answer a write; it is being read back."}
	OutcomeUnknown = Event{404, "outcome unknown", slog.LevelError, "It cannot be proven whether a claimed request ran."}
	TakenOver      = Event{405, "request taken over", slog.LevelInfo, "A patient request of a dead host continues on this host."}

	MemberSuspected = Event{501, "member suspected", slog.LevelWarn, "A host did not answer direct and indirect probes."}
	MemberDead      = Event{502, "member dead", slog.LevelWarn, "A suspected host did not refute within the suspicion time."}
	MemberAlive     = Event{503, "member alive", slog.LevelInfo, "A host joined or came back."}
	PeerRejected    = Event{504, "peer rejected", slog.LevelWarn, "A connection without a valid peer certificate was closed."}
	PeerFetchFailed = Event{505, "peer state not fetched", slog.LevelWarn, "A peer did not hand over its configuration and list of targets."}

	ConfigAdopted  = Event{601, "configuration adopted", slog.LevelInfo, "A newer rules file is in force on this host."}
	ConfigRejected = Event{602, "configuration rejected", slog.LevelError, "A rules file with findings or an older number was refused."}
	StoreCutOff    = Event{603, "store unreachable", slog.LevelWarn, "The store does not answer; the last configuration stays in force."}
	StoreBack      = Event{604, "store reachable", slog.LevelInfo, "The store answers again."}

	MoveStarted   = Event{701, "move started", slog.LevelInfo, "A version move began."}
	MoveStepped   = Event{702, "move stepped", slog.LevelInfo, "The share of the new version grew."}
	MoveDone      = Event{703, "move done", slog.LevelInfo, "All traffic is on the new version."}
	MoveTakenBack = Event{704, "move taken back", slog.LevelError, "The new version was judged bad; traffic is back on the old one for good."}
	MoveLate      = Event{705, "move late", slog.LevelWarn, "The move cannot end by its time."}
	MoveRetried   = Event{707, "move step retried", slog.LevelWarn, "A store call or control command of a move failed and is tried again."}
	VersionHalted = Event{706, "version halted", slog.LevelError, "This host stopped sending to a version on its own evidence or a peer's word."}
)

// All returns every declared event in the order of its number.
func All() []Event {
	return []Event{
		Started, EmbeddedStore, ShutdownBegun, ShutdownDone, ShutdownCut, SettingsRejected, SettingsReread,
		RequestRefused, RequestRetried, CallerLeft, AnswerBroken, RequestAnswered,
		TargetEjected, TargetRestored, TargetLeaving, TargetListStale, TargetListed, TargetDoubted,
		WriterElected, WriterLost, AppendUnknown, OutcomeUnknown, TakenOver,
		MemberSuspected, MemberDead, MemberAlive, PeerRejected, PeerFetchFailed,
		ConfigAdopted, ConfigRejected, StoreCutOff, StoreBack,
		MoveStarted, MoveStepped, MoveDone, MoveTakenBack, MoveLate, VersionHalted, MoveRetried,
	}
}
