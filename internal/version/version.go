// Package version describes the build of a program.
package version

import "runtime/debug"

// Number is the release that this source is developed for.
const Number = "0.1.0"

// revisionLength is the length of the displayed source revision, in characters.
const revisionLength = 12

// String returns the release and, if the build recorded it, the source revision.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	return describe(info.Settings)
}

func describe(settings []debug.BuildSetting) string {
	revision, modified := "", ""
	for _, s := range settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				modified = "+changes"
			}
		}
	}
	if revision == "" {
		return Number
	}
	return Number + " (" + revision[:min(revisionLength, len(revision))] + modified + ")"
}
