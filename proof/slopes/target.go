package slopes

// The target scale, from section 1.5 of docs/design.md.
const (
	hosts             = 360
	zones             = 9
	hostsPerZone      = 40
	targets           = 2700
	targetsPerZone    = 300
	models            = 6
	organisations     = 29000
	requestsPerZone   = 344 // per second
	zoneLossFactor    = 1.5
	changesPerDay     = 6600
	requestsPerSecond = 3100
	secondsPerDay     = 24 * 60 * 60
)

// The budgets, from sections 1.3, 1.5, 2.6 and 6 of docs/design.md.
const (
	peerBytes       = 5000      // bytes per second and host, sent and received
	hostMemory      = 128 << 20 // bytes per host
	corePart        = 0.019     // of one core per host
	inForceSeconds  = 19.0
	storeReads      = 2000.0 // per second, of the whole fleet
	journalWrites   = 20.0   // log writes per second and partition
	journalDelay    = 0.150  // seconds added to the median claim
	claimsPerSecond = 200.0  // per partition, for which the two above hold
	decisionTime    = 10e-6  // seconds per decision at 300 targets
	// storeWrites is "several hundred" per second; platformd's limit is the
	// same.
	storeWrites = 400.0
)

// retentionSeconds is the default time for which outcomes stay on record.
const retentionSeconds = 3600.0

// partitionRecords is the number of requests on record in one partition at the
// rate for which the journal is specified.
const partitionRecords = claimsPerSecond * retentionSeconds

// rulesLines is the assumed length of the rules file at the target; section 1.5
// states none. With lines of about 75 bytes it is three quarters of the
// greatest file that the store holds.
const rulesLines = 10000
