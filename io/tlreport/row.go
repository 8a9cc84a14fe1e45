package tlreport

import (
	"fmt"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoillanding/core/tltrial"
	"trefoillanding/core/tlwire"
)

// Row is the result of one policy in one cell of the matrix, merged over all seeds.
type Row struct {
	Arrivals  tlwire.ArrivalKind
	Condition tlwire.ConditionKind
	Load      float64
	Policy    string
	Result    *tltrial.Result
	// SeedGoodputs is the goodput of each seed, in good requests per second.
	SeedGoodputs []float64
	// Oracle is the row of the oracle policy in the same cell, or nil.
	Oracle *Row
}

// Add merges the result of one seed into the row.
func (r *Row) Add(t *tltrial.Result) {
	r.SeedGoodputs = append(r.SeedGoodputs, t.Goodput())
	if r.Result == nil {
		r.Result = t
		return
	}
	r.Result.Merge(t)
}

type column struct {
	name  string
	value func(*Row) string
}

var columns = []column{
	{"Arrivals", func(r *Row) string { return string(r.Arrivals) }},
	{"Condition", func(r *Row) string { return string(r.Condition) }},
	{"Load", func(r *Row) string { return strconv.FormatFloat(r.Load, 'f', -1, 64) }},
	{"Policy", func(r *Row) string { return r.Policy }},
	{"Goodput/s", func(r *Row) string { return fmt.Sprintf("%.2f", r.Result.Goodput()) }},
	{"Good%", outcomeShare(tltrial.Good)},
	{"OfOracle%", shareOfOracle},
	{"Wasted%", func(r *Row) string { return percent(r.Result.WastedShare()) }},
	{"TTFT50", func(r *Row) string { return milliseconds(r.Result.FirstToken, 50) }},
	{"TTFT95", func(r *Row) string { return milliseconds(r.Result.FirstToken, 95) }},
	{"TTFT99", func(r *Row) string { return milliseconds(r.Result.FirstToken, 99) }},
	{"TBT50", func(r *Row) string { return milliseconds(r.Result.BetweenTokens, 50) }},
	{"TBT95", func(r *Row) string { return milliseconds(r.Result.BetweenTokens, 95) }},
	{"TBT99", func(r *Row) string { return milliseconds(r.Result.BetweenTokens, 99) }},
	{"Refused%", outcomeShare(tltrial.Refused)},
	{"LateFirst%", outcomeShare(tltrial.LateFirst)},
	{"LateBetween%", outcomeShare(tltrial.LateBetween)},
	{"Failed%", outcomeShare(tltrial.Failed)},
	{"GaveUp%", outcomeShare(tltrial.GaveUp)},
	{"Unfinished%", outcomeShare(tltrial.Unfinished)},
	{"FlooderGood%", func(r *Row) string { return percent(r.Result.Flooder()) }},
	{"OthersGood%", func(r *Row) string { return percent(r.Result.Others()) }},
	{"WorstGood%", func(r *Row) string { return percent(r.Result.Worst()) }},
	{"FlooderShare%", func(r *Row) string { return percent(r.Result.FlooderShare()) }},
	{"Cached%", func(r *Row) string {
		return percent(r.Result.Cached / max(r.Result.Cached+r.Result.Computed, 1))
	}},
	{"Held%", func(r *Row) string { return percent(r.Result.HeldShare) }},
}

func outcomeShare(o tltrial.Outcome) func(*Row) string {
	return func(r *Row) string {
		return percent(float64(r.Result.Outcomes[o]) / float64(max(r.Result.Offered(), 1)))
	}
}

func shareOfOracle(r *Row) string {
	if r.Oracle == nil {
		return "-"
	}
	return percent(r.Result.Goodput() / r.Oracle.Result.Goodput())
}

func percent(v float64) string {
	return fmt.Sprintf("%.2f", 100*v)
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) string {
	return fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(quantile))/1000)
}
