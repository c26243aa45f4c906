package main

import (
	_ "embed"
	"strings"
)

// names.txt holds the platform's names: the project keeps them out of Go code outside its adapter.
//
//go:embed names.txt
var namesText string

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[key] = value
	}
	return names
}

// name returns a name of the platform.
func name(key string) string {
	value, ok := names[key]
	if !ok {
		panic("no name for " + key)
	}
	return value
}
