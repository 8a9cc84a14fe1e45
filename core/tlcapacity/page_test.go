package tlcapacity

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// table returns the rows of the Markdown table below a heading of page, without
// the header row and the separator row.
func table(t *testing.T, page, heading string) []string {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n## "+heading+"\n")
	require.True(t, found, "no heading %s", heading)
	var lines []string
	for line := range strings.Lines(rest) {
		if strings.HasPrefix(line, "## ") {
			break
		}
		if strings.HasPrefix(line, "|") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	require.Greater(t, len(lines), 2, heading)
	return lines[2:]
}

func linesOf[T fmt.Stringer](all []T) []string {
	var lines []string
	for _, v := range all {
		lines = append(lines, v.String())
	}
	return lines
}

func TestPageTablesMatchComputedTables(t *testing.T) {
	b, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	for _, c := range []struct {
		heading string
		want    []string
	}{
		{"1. What does not fit", linesOf(Totals(Rows()))},
		{"2. Each role", linesOf(Rows())},
		{"4. Slopes", linesOf(Slopes())},
		{"5. Failures", linesOf(Failures())},
	} {
		t.Run(c.heading, func(t *testing.T) {
			assert.Equal(t, c.want, table(t, string(b), c.heading), "the table must be:\n%s", strings.Join(c.want, "\n"))
		})
	}
}

func TestRowIsTheProductOfItsFactors(t *testing.T) {
	r := Row{"reader", FewNodes, Bytes, []Factor{{"a", 2}, {"b", 1500}}, "by hand"}
	assert.Equal(t, 3000.0, r.Value())
	assert.Equal(t, "| reader | control, few nodes | bytes | 2 a × 1500 b | 3000 B/s | by hand |", r.String())
	assert.Equal(t, []Total{{Bytes, FewNodes, 3000}}, Totals([]Row{r}))
}

func TestTotalsUseLargestRowForFewNodes(t *testing.T) {
	row := func(p Path, v float64) Row { return Row{"r", p, Memory, []Factor{{"a", v}}, ""} }
	rows := []Row{row(FewNodes, 2), row(FewNodes, 3), row(Control, 2), row(Control, 3)}
	assert.Equal(t, []Total{{Memory, Control, 5}, {Memory, FewNodes, 3}}, Totals(rows))
}

func TestTotalVerdictFollowsLimit(t *testing.T) {
	for _, c := range []struct {
		total Total
		want  string
	}{
		{Total{Bytes, Control, 3000}, "fits"},
		{Total{Bytes, Control, 3001}, "**does not fit**"},
		{Total{Bytes, Request, 1e6}, ""},
		{Total{Appends, Platform, 401}, "**does not fit**"},
	} {
		assert.Equal(t, c.want, c.total.verdict(), "%v", c.total)
	}
}
