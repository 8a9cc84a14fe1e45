package tlcapacity

import "fmt"

// Slope is the measured cost of one unit, such as one message or one list entry.
type Slope struct {
	// Name says what the cost is of.
	Name  string
	Value float64
	// Unit is the unit of Value.
	Unit string
	// Command is the shell command that measures the slope.
	Command string
}

// String returns the slope as a row of a Markdown table.
func (s Slope) String() string {
	return fmt.Sprintf("| %s | %g %s | `%s` |", s.Name, s.Value, s.Unit, s.Command)
}

// asFactor returns the slope as a factor in the given unit; one s.Unit is scale of that unit.
func (s Slope) asFactor(unit string, scale float64) Factor {
	return Factor{Name: unit + " (" + s.Name + ")", Value: s.Value * scale}
}

// The commands that measure the slopes.
const (
	fleetCommand    = "go test -run '^$' -bench Fleet -benchtime 1x ."
	listCommand     = "go test -run '^$' -bench InstanceList -benchtime 2000x ."
	messageCommand  = "go test -run '^$' -bench MessageBytes -benchtime 1x ."
	configCommand   = "go test -run '^$' -bench 'Take\\|Memory' ./core/tlconfig"
	idleCommand     = "go test -run '^$' -bench Idle -benchtime 2x ./io/tlconfigure"
	homeCommand     = "go test -run '^$' -bench Home -benchtime 3x ./core/tlmember"
	peerCommand     = "go test -run '^$' -bench 'Call\\|Send' -benchtime 5000x ./io/tlpeer"
	schedCommand    = "go test -run '^$' -bench . -benchtime 20000x -count 3 ./core/tlsched"
	streamsCommand  = "go test -run '^$' -bench OpenStreams -benchtime 5x ./io/tlengine"
	claimCommand    = "go test -run '^$' -bench ClaimMemory -benchtime 1x ./io/tlledger"
	rolePlanCommand = "go test -run '^$' -bench RolePlanOfALostVersion ./core/tlplace"
	foldCommand     = "go test -run '^$' -bench Fold -benchtime 5x ./core/tlclaim"
	grantCommand    = "go test -run '^$' -bench SpendingMemory -benchtime 3x ./core/tlquota"
	quotaCommand    = "go test -run '^$' -bench Admit -benchtime 5000x ./io/tlmeter"
	appenderCommand = "go test -run '^$' -bench 'Claim$' -benchtime 1x ./io/tlledger"
)

// The measured slopes; docs/MEASUREMENTS.md gives the conditions of each measurement.
var (
	gossipBytes     = Slope{"gossip of one instance, sent and received, 50 instances", 3304, "B/s", fleetCommand}
	pollBytes       = Slope{"question for an engine's load, both ways", 531, "B", fleetCommand}
	eventBytes      = Slope{"question for cache events, both ways, none new", 345, "B", fleetCommand}
	pollTime        = Slope{"question to an engine, both sides", 0.23, "ms", fleetCommand}
	forwardBytes    = Slope{"change of a small configuration passed on, sent and received, 50 instances", 780, "B", fleetCommand}
	idleHeap        = Slope{"heap of an instance with 14 engines, 50 instances", 2.43, "MB", fleetCommand}
	peerHeap        = Slope{"heap for one more instance with 14 engines, from 7 to 50", 22.9, "KB", fleetCommand}
	logReadBytes    = Slope{"reading of a log stream with nothing new, both ways", 354, "B", fleetCommand}
	listBytes       = Slope{"entry of a changed instance list", 128.4, "B", listCommand}
	listTime        = Slope{"entry of a changed instance list, both sides", 0.00635, "ms", listCommand}
	sameListBytes   = Slope{"reading of an unchanged instance list", 316.5, "B", listCommand}
	sameListTime    = Slope{"reading of an unchanged instance list, both sides", 0.4131, "ms", listCommand}
	listHeap        = Slope{"entry of the instance list held", 222, "B", listCommand}
	streamBytes     = Slope{"stream in an engine's list", 278, "B", messageCommand}
	submitBytes     = Slope{"submission without blocks", 273, "B", messageCommand}
	blockBytes      = Slope{"block of a prompt in a submission", 9.225, "B", messageCommand}
	stepBytes       = Slope{"step", 176, "B", messageCommand}
	reportBytes     = Slope{"report", 176, "B", messageCommand}
	quotaBytes      = Slope{"question about a quota, both ways", 170, "B", messageCommand}
	slotBytes       = Slope{"slot of a contended service, question, answer and end", 309.0, "B", messageCommand}
	grantHeap       = Slope{"granted request remembered", 219, "B", grantCommand}
	organisedHeap   = Slope{"organisation counted at its home", 771, "B", grantCommand}
	quotaTime       = Slope{"question about a quota, both ends", 0.0938, "ms", quotaCommand}
	messageTime     = Slope{"one-way message, both ends", 0.04, "ms", peerCommand}
	changeBytes     = Slope{"record of a change of one pool, target size", 830, "B", configCommand}
	stateBytes      = Slope{"configuration of the target size", 831, "kB", configCommand}
	changeTime      = Slope{"folding a change, target size", 3.3, "ms", configCommand}
	configHeap      = Slope{"configuration held, target size", 3.3, "MiB", configCommand}
	idleTime        = Slope{"idle mesh, gossip and configuration, 50 instances", 1.8, "ms/s", idleCommand}
	homeTime        = Slope{"question whether a pool's home is here, 760 instances", 0.002, "ms", homeCommand}
	maxPoolsPerHome = Slope{"the busiest of 760 instances, of 714 pools", 5, "pools", homeCommand}
	rankTime        = Slope{"answer that ranks 760 entries", 0.286, "ms", "go test -run '^$' -bench Rank -benchtime 2000x ./core/tlselect"}
	requestTime     = Slope{"decisions for one request, 14 engines", 13.2, "us", schedCommand}
	tokenTime       = Slope{"token handed on, both sides", 30, "us", streamsCommand}
	streamHeap      = Slope{"open stream, both sides", 77, "KB", streamsCommand}
	claimHeap       = Slope{"claim kept", 150, "B", claimCommand}
	rolePlanTime    = Slope{"plan of roles while a version is lost, an engine of 1,000", 0.61, "us", rolePlanCommand}
	claimTime       = Slope{"claim folded", 4.4, "us", foldCommand}
	homeAppends     = Slope{"appends of a home that is asked for claims without pause", 50, "/s", appenderCommand}
)

// Slopes returns all slopes, in the order of docs/CAPACITY.md.
func Slopes() []Slope {
	return []Slope{
		gossipBytes, pollBytes, eventBytes, pollTime, forwardBytes, idleHeap, peerHeap, logReadBytes, listBytes, listTime, sameListBytes,
		sameListTime, listHeap, streamBytes, submitBytes, blockBytes, stepBytes, reportBytes, quotaBytes, slotBytes, grantHeap, organisedHeap, quotaTime, messageTime, changeBytes,
		stateBytes, changeTime, configHeap, idleTime, homeTime, maxPoolsPerHome, rankTime, requestTime, tokenTime, streamHeap, claimHeap, rolePlanTime, claimTime, homeAppends,
	}
}
