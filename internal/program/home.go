package program

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// Home is the program group that a program lives in for life: MajorityHome, or the name of an
// availability zone whose control VMs keep a group of their own.
type Home string

// MajorityHome is the group over all control VMs.
const MajorityHome Home = ""

// String names the home for callers and operators.
func (h Home) String() string {
	if h == MajorityHome {
		return "majority"
	}
	return zonePrefix + string(h)
}

const (
	// zonePrefix begins the names of programs that live in a zone's group.
	zonePrefix = "zone:"
	// tokenBytes is the length of a zone group's token before its encoding in hex.
	tokenBytes = 8
	// homeSeparator stands between a zone and the rest of an attempt's or session's name. No
	// zone has it in its name.
	homeSeparator = "~"
)

// qualifiedName is the name of a program in a zone's group: zone:ZONE:TOKEN:NAME. The token is the
// group's own and does not come back when the group is formed anew after the loss of its disks,
// so that a name of a lost record never means another program.
type qualifiedName struct {
	zone  Home
	token string
	name  string
}

func (q qualifiedName) String() string {
	return zonePrefix + string(q.zone) + ":" + q.token + ":" + q.name
}

// parseQualified splits the name of a program in a zone's group. Names that only begin alike
// are names of the majority group.
func parseQualified(text string) (qualifiedName, bool) {
	rest, ok := strings.CutPrefix(text, zonePrefix)
	if !ok {
		return qualifiedName{}, false
	}
	parts := strings.SplitN(rest, ":", 3)
	if len(parts) != 3 || parts[0] == "" || !isToken(parts[1]) || parts[2] == "" {
		return qualifiedName{}, false
	}
	return qualifiedName{zone: Home(parts[0]), token: parts[1], name: parts[2]}, true
}

// HomeOf returns the home of a program, which its name alone tells.
func HomeOf(name string) Home {
	q, _ := parseQualified(name)
	return q.zone
}

// NameFits reports whether a program's name has at most limit bytes, or, with the part that
// names a zone's group, as many as any name may have.
func NameFits(name string, limit int) bool {
	if HomeOf(name) != MajorityHome {
		limit = maxNameBytes
	}
	return len(name) <= limit
}

func isToken(text string) bool {
	data, err := hex.DecodeString(text)
	return err == nil && len(data) == tokenBytes && strings.ToLower(text) == text
}

func newToken() string {
	var token [tokenBytes]byte
	_, _ = rand.Read(token[:]) // never fails
	return hex.EncodeToString(token[:])
}

// withHomePrefix returns an attempt's or session's name that tells its home.
func (h Home) withHomePrefix(id string) string {
	if h == MajorityHome {
		return id
	}
	return string(h) + homeSeparator + id
}

// homeOfID returns the home that the name of an attempt or session tells.
func homeOfID(id string) Home {
	zone, _, ok := strings.Cut(id, homeSeparator)
	if !ok {
		return MajorityHome
	}
	return Home(zone)
}

// HomeOfAttempt returns the home of the turn that an attempt runs, which its ID alone tells.
func HomeOfAttempt(id string) Home { return homeOfID(id) }
