package jsonfile

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// check is one constraint of a check tag. On slices and maps it applies to each element.
//
// A tag is a comma-separated list of:
//
//	above=N   a number above N
//	min=N     a number of at least N
//	max=N     a number of at most N
//	minlen=N  a string of at least N characters
//	oneof=A|B one of these strings
//	format=F  a string in one of the formats below
type check struct {
	kind string
	text string
	num  float64
}

// format is a named constraint on strings and the text that describes it in a problem.
type format struct {
	valid   func(string) bool
	allowed string
}

const (
	lower    = "abcdefghijklmnopqrstuvwxyz"
	upper    = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	digits   = "0123456789"
	maxID    = 64  // characters
	maxName  = 128 // characters
	maxPath  = 512 // characters
	hashSize = 64  // hex digits of a SHA-256
)

var formats = map[string]format{
	"id": {
		valid:   func(s string) bool { return consistsOf(s, lower+digits+"._-", maxID) },
		allowed: "1 to 64 characters of a-z, 0-9, '.', '_' and '-'",
	},
	"host": {
		valid:   func(s string) bool { return consistsOf(s, lower+digits+"-", maxID) },
		allowed: "1 to 64 characters of a-z, 0-9 and '-'",
	},
	"name": {
		valid:   func(s string) bool { return consistsOf(s, lower+upper+digits+"._-/:", maxName) },
		allowed: "1 to 128 characters of a-z, A-Z, 0-9, '.', '_', '-', '/' and ':'",
	},
	"reference": {
		valid:   func(s string) bool { return s == "*" || consistsOf(s, lower+upper+digits+"._-/:", maxName) },
		allowed: "a name of a-z, A-Z, 0-9, '.', '_', '-', '/' and ':', or \"*\" for all",
	},
	"sha256": {
		valid:   func(s string) bool { return len(s) == hashSize && consistsOf(s, digits+"abcdef", hashSize) },
		allowed: "64 lower-case hex digits",
	},
	"address": {
		valid:   isAddress,
		allowed: "IP:port with a port of 1 to 65535, such as \"10.0.0.1:7000\"",
	},
	"path": {
		valid:   isPathPrefix,
		allowed: "a path that starts with '/', without '.', '..' or empty parts, of at most 512 characters",
	},
}

// consistsOf reports whether s has 1 to most bytes, all of them among characters.
func consistsOf(s, characters string, most int) bool {
	if s == "" || len(s) > most {
		return false
	}
	return strings.Trim(s, characters) == ""
}

func isAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}

func isPathPrefix(s string) bool {
	if !strings.HasPrefix(s, "/") || len(s) > maxPath || strings.ContainsAny(s, "?#%\\ ") {
		return false
	}
	trimmed := strings.Trim(s, "/")
	if trimmed == "" {
		return s == "/"
	}
	for _, part := range strings.Split(strings.TrimSuffix(s[1:], "/"), "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

// parseChecks parses a check tag. It panics on an invalid tag: a mistake in a schema then fails
// every test that decodes into it.
func parseChecks(tag string) []check {
	if tag == "" {
		return nil
	}
	var checks []check
	for _, part := range strings.Split(tag, ",") {
		kind, text, _ := strings.Cut(part, "=")
		c := check{kind: kind, text: text}
		switch kind {
		case "above", "min", "max", "minlen":
			num, err := strconv.ParseFloat(text, 64)
			if err != nil {
				panic("jsonfile: bad check tag " + tag)
			}
			c.num = num
		case "format":
			if _, known := formats[text]; !known {
				panic("jsonfile: unknown format in check tag " + tag)
			}
		case "oneof":
		default:
			panic("jsonfile: unknown check in tag " + tag)
		}
		checks = append(checks, c)
	}
	return checks
}

func (c check) accepts(v reflect.Value) bool {
	switch c.kind {
	case "above":
		return number(v) > c.num
	case "min":
		return number(v) >= c.num
	case "max":
		return number(v) <= c.num
	case "minlen":
		return utf8.RuneCountInString(v.String()) >= int(c.num)
	case "oneof":
		return slices.Contains(strings.Split(c.text, "|"), v.String())
	case "format":
		return formats[c.text].valid(v.String())
	}
	return true
}

func number(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Float64:
		return v.Float()
	case reflect.Uint64:
		return float64(v.Uint())
	}
	return float64(v.Int())
}

// allowed describes, for a problem, the values that pass all checks.
func allowed(checks []check) string {
	var parts []string
	for _, c := range checks {
		switch c.kind {
		case "above":
			parts = append(parts, "a number above "+c.text)
		case "min":
			parts = append(parts, "at least "+c.text)
		case "max":
			parts = append(parts, "at most "+c.text)
		case "minlen":
			parts = append(parts, "a string of at least "+c.text+" characters")
		case "oneof":
			parts = append(parts, "one of "+strings.ReplaceAll(c.text, "|", ", "))
		case "format":
			parts = append(parts, formats[c.text].allowed)
		}
	}
	return strings.Join(parts, ", ")
}

// displayText formats a value for a message, shortened to 80 characters. Secrets and hashes are
// left out because the message may be logged.
func displayText(text hujson.Literal, c check) string {
	const longest = 80
	if c.kind == "minlen" || c.text == "sha256" {
		return "(not shown)"
	}
	if len(text) > longest {
		return fmt.Sprintf("%.80s...", string(text))
	}
	return string(text)
}
