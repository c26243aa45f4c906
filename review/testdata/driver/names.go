package main

import (
	_ "embed"
	"strings"
)

// namesFile holds the platform's names of headers, calls and variables. The project keeps them out of its Go code, except in
// the folder platform.
//
//go:embed names.txt
var namesFile string

// settingsFormat is the settings file of a process, as a format.
//
//go:embed settings.toml.fmt
var settingsFormat string

// wireName returns the platform's name for what key stands for.
func wireName(key string) string {
	for line := range strings.Lines(namesFile) {
		if k, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && k == key {
			return name
		}
	}
	panic("driver: no name for " + key)
}
