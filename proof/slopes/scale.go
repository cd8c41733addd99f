package slopes

// The target scale, from section 1.5 of docs/design.md.
const (
	fleetHosts             = 360
	fleetZones             = 9
	hostsPerZone           = 40
	fleetTargets           = 2700
	targetsPerZone         = 300
	fleetModels            = 6
	fleetOrganisations     = 29000
	requestsPerZone        = 344 // per second
	zoneLossFactor         = 1.5
	rulesChangesPerDay     = 6600
	fleetRequestsPerSecond = 3100
	secondsPerDay          = 24 * 60 * 60
)

// The budgets, from sections 1.3, 1.5, 2.6 and 6 of docs/design.md.
const (
	maxPeerBytesPerSecond      = 5000      // per host, sent and received
	maxHostMemoryBytes         = 128 << 20 // per host
	maxCoreFraction            = 0.019     // fraction of one core per host
	maxRulesPropagationSeconds = 19.0
	maxStoreReadsPerSecond     = 2000.0 // of the whole fleet
	maxJournalWritesPerSecond  = 20.0   // of the log of one partition
	maxJournalDelaySeconds     = 0.150  // added to the median duration of a claim
	claimsPerSecond            = 200.0  // load per partition at which the two budgets above apply
	maxDecisionSeconds         = 10e-6  // per decision with 300 targets
	// maxStoreWritesPerSecond is the "several hundred" of the specification and the
	// limit of the stand-in platformd.
	maxStoreWritesPerSecond = 400.0
)

// retentionSeconds is the default retention time of recorded outcomes.
const retentionSeconds = 3600.0

// recordsPerPartition is the number of requests recorded in one partition at the
// rate for which the journal is specified.
const recordsPerPartition = claimsPerSecond * retentionSeconds

// rulesLines is the number of lines of the rules file at the target scale, for
// which section 1.5 states no number. With lines of about 75 bytes, the file is
// three quarters of the largest file that the store accepts.
const rulesLines = 10000
