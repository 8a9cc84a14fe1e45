package tlexperiment

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tlwire"
)

// Read decodes and validates an experiment file. The error joins every rule that
// the file breaks.
func Read(file []byte) (tlwire.Experiment, error) {
	var x tlwire.Experiment
	d := yaml.NewDecoder(bytes.NewReader(file))
	d.KnownFields(true)
	if err := d.Decode(&x); err != nil {
		return x, fmt.Errorf("experiment: %w", err)
	}
	setDefaults(&x)
	return x, validate(x)
}

func setDefaults(x *tlwire.Experiment) {
	if x.Arrivals == nil {
		x.Arrivals = []tlwire.ArrivalKind{tlwire.ArrivalKindPoisson}
	}
	if x.Conditions == nil {
		x.Conditions = []tlwire.ConditionKind{tlwire.ConditionKindClean}
	}
	if x.FirstToken == 0 {
		x.FirstToken = 330 * time.Millisecond
	}
	if x.BetweenTokens == 0 {
		x.BetweenTokens = 30 * time.Millisecond
	}
	if x.Engines.LoadEvery == 0 {
		x.Engines.LoadEvery = 100 * time.Millisecond
	}
}

func validate(x tlwire.Experiment) error {
	m := x.Engines
	rules := []struct {
		holds bool
		text  string
	}{
		{len(x.Pools) > 0, "Pools: at least one is needed"},
		{len(x.Instances) > 0, "Instances: at least one is needed"},
		{len(x.Requests) > 0, "Requests: at least one class is needed"},
		{len(x.Loads) > 0, "Loads: at least one is needed"},
		{x.Organisations > 0, "Organisations: must be above 0"},
		{x.Seeds > 0, "Seeds: must be above 0"},
		{x.Duration > 0, "Duration: must be above 0"},
		{m.PrefillTokensPerSecond > 0, "Engines.PrefillTokensPerSecond: must be above 0"},
		{m.Pieces > 0, "Engines.Pieces: must be above 0"},
		{m.PieceTokens > 0, "Engines.PieceTokens: must be above 0"},
		{m.StepBase > 0, "Engines.StepBase: must be above 0"},
		{m.LinkBytesPerSecond > 0, "Engines.LinkBytesPerSecond: must be above 0"},
	}
	var l []error
	for _, r := range rules {
		if !r.holds {
			l = append(l, errors.New("experiment: "+r.text))
		}
	}
	for _, n := range x.Policies {
		if _, ok := tlbaseline.Find(n); !ok {
			l = append(l, fmt.Errorf("experiment: Policies: %q is not known", n))
		}
	}
	return errors.Join(l...)
}
