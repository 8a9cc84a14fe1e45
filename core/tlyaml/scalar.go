package tlyaml

import (
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// scalar decodes values of one type; set returns a message for an invalid value, or "".
type scalar struct {
	expected string
	set      func(n *yaml.Node, v reflect.Value) string
}

const (
	expectedDuration = "a duration with a unit, such as 250ms"
	expectedAddress  = "an IP address and port, such as 127.0.0.1:8100"
	expectedInteger  = "a whole number"
	expectedNumber   = "a number"
	expectedString   = "a string"
	expectedBool     = "true or false"
)

var scalarTypes = map[reflect.Type]scalar{
	reflect.TypeFor[time.Duration]():  {expectedDuration, setDuration},
	reflect.TypeFor[netip.AddrPort](): {expectedAddress, setAddress},
}

var scalarKinds = map[reflect.Kind]scalar{
	reflect.String:  {expectedString, setString},
	reflect.Bool:    {expectedBool, setBool},
	reflect.Int:     {expectedInteger, setInt},
	reflect.Int64:   {expectedInteger, setInt},
	reflect.Uint64:  {expectedInteger, setUint},
	reflect.Float64: {expectedNumber, setFloat},
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
		return "must be " + expectedDuration
	}
	v.SetInt(int64(t))
	return ""
}

func setAddress(n *yaml.Node, v reflect.Value) string {
	a, err := netip.ParseAddrPort(n.Value)
	if err != nil {
		return "must be " + expectedAddress
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
		return "must be " + expectedBool
	}
	v.SetBool(b)
	return ""
}

func setInt(n *yaml.Node, v reflect.Value) string {
	i, err := strconv.ParseInt(n.Value, 10, 64)
	if err != nil {
		return "must be " + expectedInteger
	}
	v.SetInt(i)
	return ""
}

func setUint(n *yaml.Node, v reflect.Value) string {
	i, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil {
		return "must be " + expectedInteger
	}
	v.SetUint(i)
	return ""
}

func setFloat(n *yaml.Node, v reflect.Value) string {
	f, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return "must be " + expectedNumber
	}
	v.SetFloat(f)
	return ""
}
