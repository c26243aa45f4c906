package program

import "strings"

// engineSeparator separates zone and name in an engine's name in the record.
const engineSeparator = "/"

// EngineName returns an engine's name in the record. It carries the zone, because a call is
// sent to the zone that holds the program's prefix.
func EngineName(zone, upstream string) string {
	return zone + engineSeparator + upstream
}

// SplitEngineName is the inverse of EngineName.
func SplitEngineName(name string) (zone, upstream string) {
	zone, upstream, _ = strings.Cut(name, engineSeparator)
	return zone, upstream
}
