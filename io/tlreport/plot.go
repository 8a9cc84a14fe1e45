package tlreport

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"trefoillanding/core/tlwire"
)

// figure is a value that is plotted against the load.
type figure struct {
	name  string
	label string
	value func(*Row) float64
}

var figures = []figure{
	{"goodput", "good requests a second", func(r *Row) float64 { return r.Result.Goodput() }},
	{"wasted", "wasted prefill, %", func(r *Row) float64 { return 100 * r.Result.WastedShare() }},
}

// writePlots draws each figure against the load, for each arrival process and condition.
func writePlots(folder, name string, rows []*Row) error {
	type key struct {
		arrivals  tlwire.ArrivalKind
		condition tlwire.ConditionKind
	}
	var order []key
	groups := make(map[key][]*Row)
	for _, r := range rows {
		k := key{r.Arrivals, r.Condition}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	for _, k := range order {
		for _, f := range figures {
			title := fmt.Sprintf("%s, %s, %s", name, k.arrivals, k.condition)
			file := fmt.Sprintf("%s-%s-%s-%s.svg", name, f.name, k.arrivals, k.condition)
			if err := drawFigure(filepath.Join(folder, file), title, f, groups[k]); err != nil {
				return err
			}
		}
	}
	return nil
}

func drawFigure(path, title string, f figure, rows []*Row) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, multiples of the decode capacity"
	p.Y.Label.Text = f.label
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var order []string
	lines := make(map[string]plotter.XYs)
	for _, r := range rows {
		if lines[r.Policy] == nil {
			order = append(order, r.Policy)
		}
		lines[r.Policy] = append(lines[r.Policy], plotter.XY{X: r.Load, Y: f.value(r)})
	}
	var args []any
	for _, n := range order {
		args = append(args, n, lines[n])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, path)
}
