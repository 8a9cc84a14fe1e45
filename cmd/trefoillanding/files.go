package main

import (
	"os"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
)

func readSettings(name string) (tlwire.Settings, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return tlwire.Settings{}, usagef("%v", err)
	}
	s, err := tlsettings.Parse(name, b)
	if err != nil {
		return tlwire.Settings{}, usagef("%v", err)
	}
	return s, nil
}

func readFiles(names []string) ([]tlconfig.File, error) {
	files := make([]tlconfig.File, 0, len(names))
	for _, n := range names {
		b, err := os.ReadFile(n)
		if err != nil {
			return nil, usagef("%v", err)
		}
		files = append(files, tlconfig.File{Name: n, Data: b})
	}
	return files, nil
}

func readConfig(names []string) (*tlconfig.Config, []tlconfig.File, error) {
	if len(names) == 0 {
		return nil, nil, usagef("name at least one file")
	}
	files, err := readFiles(names)
	if err != nil {
		return nil, nil, err
	}
	c, err := tlconfig.Parse(files...)
	if err != nil {
		return nil, nil, usagef("%v", err)
	}
	return c, files, nil
}
