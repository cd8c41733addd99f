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
	maxPeerBytesPerSecond      = 5000      // bytes per second and host, sent and received
	maxHostMemoryBytes         = 128 << 20 // bytes per host
	maxCoreFraction            = 0.019     // of one core per host
	maxRulesPropagationSeconds = 19.0
	maxStoreReadsPerSecond     = 2000.0 // per second, of the whole fleet
	maxJournalWritesPerSecond  = 20.0   // log writes per second and partition
	maxJournalDelaySeconds     = 0.150  // seconds added to the median claim
	claimsPerSecond            = 200.0  // per partition, for which the two above hold
	maxDecisionSeconds         = 10e-6  // seconds per decision at 300 targets
	// storeWrites is "several hundred" per second; platformd's limit is the
	// same.
	maxStoreWritesPerSecond = 400.0
)

// retentionSeconds is the default time for which outcomes stay on record.
const retentionSeconds = 3600.0

// partitionRecords is the number of requests on record in one partition at the
// rate for which the journal is specified.
const recordsPerPartition = claimsPerSecond * retentionSeconds

// rulesLines is the assumed length of the rules file at the target; section 1.5
// states none. With lines of about 75 bytes it is three quarters of the
// greatest file that the store holds.
const rulesLines = 10000
