// Package version names the build of a program.
package version

import "runtime/debug"

// Number is the release that this source leads to.
const Number = "0.1.0"

// revisionLength is how much of the source's revision is shown. Characters.
const revisionLength = 12

// String returns the release and, where the build knows it, the revision of the source.
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
