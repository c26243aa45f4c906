package main

import (
	_ "embed"
	"strings"
)

// names.txt holds the platform's names: the project keeps them out of Go code outside of its adapter.
//
//go:embed names.txt
var namesText string

var nameReplacer = newNameReplacer()

func newNameReplacer() *strings.Replacer {
	var pairs []string
	for line := range strings.Lines(namesText) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		pairs = append(pairs, "@"+key+"@", name)
	}
	return strings.NewReplacer(pairs...)
}

// named returns a text in which each key between @ signs is replaced by its name.
func named(text string) string { return nameReplacer.Replace(text) }
