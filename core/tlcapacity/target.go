package tlcapacity

const secondsPerDay = 86_400.0

// The target, as it is stated.
const (
	nodes            = 760.0
	replicas         = 10_000.0
	requestsPerS     = 34_000.0
	tokensPerS       = 13_000_000.0
	regions          = 4.0
	dataCentres      = 10.0
	changesPerDay    = 16_000.0
	leavesPerDay     = 55.0 + 650.0
	cacheBytesPerS   = 37_000e9
	secondsPerToken  = 0.030
	poolEngines      = 14.0
	prefillEngines   = 5.0
	listEntries      = nodes + replicas
	nodeRequests     = requestsPerS / nodes
	nodeTokens       = tokensPerS / nodes
	requestTokens    = tokensPerS / requestsPerS
	engineStreams    = requestsPerS * requestTokens * secondsPerToken / replicas
	nodeStreams      = requestsPerS * requestTokens * secondsPerToken / nodes
	changesPerS      = changesPerDay / secondsPerDay
	bytesPerKVToken  = 131_072.0
	promptTokens     = cacheBytesPerS / requestsPerS / bytesPerKVToken
	blockTokens      = 256.0
	promptBlocks     = promptTokens / blockTokens
	claimStreams     = 16.0
	keptClaims       = 1_000_000.0
	configReaders    = 3.0
	followers        = nodes/dataCentres/configReaders - 1
	listChangesPerS  = 3 * leavesPerDay / secondsPerDay
	replacementsPerS = leavesPerDay / secondsPerDay
	stepsARequest    = 2.0
	reportsARequest  = 4.0
	messagesARequest = 1 + stepsARequest + reportsARequest
	bothWays         = 2.0
)

// What the settings and constants of an instance make of it.
const (
	pollsPerS      = 2.0
	observesPerS   = 0.5
	homeRoundsPerS = 1.5
	sweepsPerS     = 1.0 / 60
	logReadsPerS   = 0.5
	snapshotsPerS  = 1.0/600 + changesPerS/256
	poolCount      = replicas / poolEngines
	leaseRecords   = 2.0
	rollsPerDay    = 4.0
	megabyte       = 1e-6
	kilobyte       = 1e-3
	microsecond    = 1e-3
	mebibyteInMega = 1.048576
)
