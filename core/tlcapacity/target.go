package tlcapacity

const secondsPerDay = 86_400.0

// The stated target size, and figures derived from it.
const (
	nodes              = 760.0
	replicas           = 10_000.0
	requestsPerS       = 34_000.0
	tokensPerS         = 13_000_000.0
	regions            = 4.0
	dataCentres        = 10.0
	organisations      = 4_000.0
	quotaWindow        = 10.0
	changesPerDay      = 16_000.0
	departuresPerDay   = 55.0 + 650.0
	cacheBytesPerS     = 37_000e9
	secondsPerToken    = 0.030
	poolEngines        = 14.0
	prefillEngines     = 5.0
	listEntries        = nodes + replicas
	nodeRequestsPerS   = requestsPerS / nodes
	nodeTokensPerS     = tokensPerS / nodes
	tokensPerRequest   = tokensPerS / requestsPerS
	streamsPerEngine   = requestsPerS * tokensPerRequest * secondsPerToken / replicas
	streamsPerNode     = requestsPerS * tokensPerRequest * secondsPerToken / nodes
	changesPerS        = changesPerDay / secondsPerDay
	bytesPerKVToken    = 131_072.0
	promptTokens       = cacheBytesPerS / requestsPerS / bytesPerKVToken
	blockTokens        = 256.0
	promptBlocks       = promptTokens / blockTokens
	claimStreams       = 16.0
	retainedClaims     = 1_000_000.0
	configReaders      = 3.0
	followers          = nodes/dataCentres/configReaders - 1
	listChangesPerS    = 3 * departuresPerDay / secondsPerDay
	replacementsPerS   = departuresPerDay / secondsPerDay
	stepsPerRequest    = 2.0
	reportsPerRequest  = 4.0
	messagesPerRequest = 1 + stepsPerRequest + reportsPerRequest
	directions         = 2.0
)

// Rates and counts that follow from the settings and constants of an instance, and
// factors that convert units (micro: bytes to MB, or microseconds to seconds).
const (
	pollsPerS                  = 2.0
	rolePlansPerS              = 10.0
	observationsPerS           = 0.5
	homeRoundsPerS             = 1.5
	sweepsPerS                 = 1.0 / 60
	logReadsPerS               = 0.5
	snapshotsPerS              = 1.0/600 + changesPerS/256
	poolCount                  = replicas / poolEngines
	leaseRecords               = 2.0
	groupAppendsPerS           = 4.0
	rolloutsPerDay             = 4.0
	micro                      = 1e-6
	megabytesPerKilobyte       = 1e-3
	millisecondsPerMicrosecond = 1e-3
	megabytesPerMebibyte       = 1.048576
)
