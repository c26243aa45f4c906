package program

import "strings"

// engineSeparator separates zone and name in an engine's name in the record.
const engineSeparator = "/"

// EngineName returns an engine's name in the record. It includes the zone, because a call is sent
// to the zone that holds the program's prefix.
func EngineName(zone, upstream string) string {
	return zone + engineSeparator + upstream
}

// SplitEngineName splits a name returned by EngineName into its parts.
func SplitEngineName(name string) (zone, upstream string) {
	zone, upstream, _ = strings.Cut(name, engineSeparator)
	return zone, upstream
}
