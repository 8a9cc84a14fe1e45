package tlbaseline

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlsched"
)

// TestEveryMechanismHasAnAblation checks that each boolean option of the scheduler
// that is on by default has exactly one ablation that disables it and changes nothing else.
func TestEveryMechanismHasAnAblation(t *testing.T) {
	whole := reflect.ValueOf(tlsched.DefaultOptions())
	for i := range whole.NumField() {
		if whole.Field(i).Kind() != reflect.Bool || !whole.Field(i).Bool() {
			continue
		}
		found := 0
		for _, a := range ablations {
			o := tlsched.DefaultOptions()
			a.remove(&o)
			v := reflect.ValueOf(&o).Elem()
			if v.Field(i).Bool() {
				continue
			}
			v.Field(i).SetBool(true)
			if o == tlsched.DefaultOptions() {
				found++
			}
		}
		assert.Equal(t, 1, found, whole.Type().Field(i).Name)
	}
}
