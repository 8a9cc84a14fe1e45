package tlreport

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"trefoillanding/core/tltrial"
)

// WriteTable writes the rows as an aligned table.
func WriteTable(w io.Writer, rows []*Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join(columnNames(), "\t")+"\t")
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(columnValues(r), "\t")+"\t")
	}
	return t.Flush()
}

// WriteFiles writes the rows, counters and timeline as CSV files and a plot for
// each figure into a folder, which it creates if needed.
func WriteFiles(folder, name string, rows []*Row) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	if err := writeCSV(filepath.Join(folder, name+".csv"), rows); err != nil {
		return err
	}
	if err := writeCounters(filepath.Join(folder, name+"-counters.csv"), rows); err != nil {
		return err
	}
	if err := writeTimeline(filepath.Join(folder, name+"-timeline.csv"), rows); err != nil {
		return err
	}
	return writePlots(folder, name, rows)
}

func columnNames() []string {
	var l []string
	for _, c := range columns {
		l = append(l, c.name)
	}
	return l
}

func columnValues(r *Row) []string {
	var l []string
	for _, c := range columns {
		l = append(l, c.value(r))
	}
	return l
}

func writeCSV(path string, rows []*Row) error {
	records := [][]string{append(columnNames(), "GoodputOfEachSeed")}
	for _, r := range rows {
		each := strings.Trim(fmt.Sprintf("%.3f", r.SeedGoodputs), "[]")
		records = append(records, append(columnValues(r), each))
	}
	return writeRecords(path, records)
}

func writeCounters(path string, rows []*Row) error {
	records := [][]string{{"Arrivals", "Condition", "Load", "Policy", "Counter", "Value"}}
	for _, r := range rows {
		var l []string
		for n, v := range r.Result.Counters {
			if v > 0 {
				l = append(l, n)
			}
		}
		slices.Sort(l)
		for _, n := range l {
			records = append(records, append(columnValues(r)[:4], n, fmt.Sprint(r.Result.Counters[n])))
		}
	}
	return writeRecords(path, records)
}

// writeTimeline writes the numbers of offered and of good requests for each span
// of arrival time.
func writeTimeline(path string, rows []*Row) error {
	records := [][]string{{"Arrivals", "Condition", "Load", "Policy", "Second", "Offered", "Good"}}
	for _, r := range rows {
		for i, s := range r.Result.Timeline {
			if s.Offered == 0 {
				continue
			}
			at := time.Duration(i) * tltrial.SpanLength
			records = append(records, append(columnValues(r)[:4],
				fmt.Sprint(at.Seconds()), fmt.Sprint(s.Offered), fmt.Sprint(s.Good)))
		}
	}
	return writeRecords(path, records)
}

func writeRecords(path string, records [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	if err := w.WriteAll(records); err != nil {
		return err
	}
	return f.Close()
}
