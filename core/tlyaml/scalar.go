package tlyaml

import (
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// scalar decodes one type; set returns what the value must be when it is not.
type scalar struct {
	wants string
	set   func(n *yaml.Node, v reflect.Value) string
}

const (
	wantsDuration = "a duration with a unit, such as 250ms"
	wantsAddress  = "an IP address and port, such as 127.0.0.1:8100"
	wantsInteger  = "a whole number"
	wantsNumber   = "a number"
	wantsText     = "a text"
	wantsBool     = "true or false"
)

var scalarTypes = map[reflect.Type]scalar{
	reflect.TypeFor[time.Duration]():  {wantsDuration, setDuration},
	reflect.TypeFor[netip.AddrPort](): {wantsAddress, setAddress},
}

var scalarKinds = map[reflect.Kind]scalar{
	reflect.String:  {wantsText, setString},
	reflect.Bool:    {wantsBool, setBool},
	reflect.Int:     {wantsInteger, setInt},
	reflect.Int64:   {wantsInteger, setInt},
	reflect.Uint64:  {wantsInteger, setUint},
	reflect.Float64: {wantsNumber, setFloat},
}

func scalarOf(t reflect.Type) (scalar, bool) {
	if s, ok := scalarTypes[t]; ok {
		return s, true
	}
	s, ok := scalarKinds[t.Kind()]
	return s, ok
}

func setDuration(n *yaml.Node, v reflect.Value) string {
	t, err := time.ParseDuration(n.Value)
	if err != nil {
		return "must be " + wantsDuration
	}
	v.SetInt(int64(t))
	return ""
}

func setAddress(n *yaml.Node, v reflect.Value) string {
	a, err := netip.ParseAddrPort(n.Value)
	if err != nil {
		return "must be " + wantsAddress
	}
	v.Set(reflect.ValueOf(a))
	return ""
}

func setString(n *yaml.Node, v reflect.Value) string {
	v.SetString(n.Value)
	return ""
}

func setBool(n *yaml.Node, v reflect.Value) string {
	b, err := strconv.ParseBool(n.Value)
	if err != nil || n.Tag != "!!bool" {
		return "must be " + wantsBool
	}
	v.SetBool(b)
	return ""
}

func setInt(n *yaml.Node, v reflect.Value) string {
	i, err := strconv.ParseInt(n.Value, 10, 64)
	if err != nil {
		return "must be " + wantsInteger
	}
	v.SetInt(i)
	return ""
}

func setUint(n *yaml.Node, v reflect.Value) string {
	i, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil {
		return "must be " + wantsInteger
	}
	v.SetUint(i)
	return ""
}

func setFloat(n *yaml.Node, v reflect.Value) string {
	f, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return "must be " + wantsNumber
	}
	v.SetFloat(f)
	return ""
}
