package program

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// Home identifies the program group that stores a program, which never changes: MajorityHome, or
// the name of an availability zone whose control VMs form a group of their own.
type Home string

// MajorityHome is the group of all control VMs.
const MajorityHome Home = ""

// String returns the home's name for callers and operators.
func (h Home) String() string {
	if h == MajorityHome {
		return "majority"
	}
	return zonePrefix + string(h)
}

const (
	// zonePrefix starts the names of programs in a zone's group.
	zonePrefix = "zone:"
	// tokenBytes is the length of a zone group's token before hex encoding.
	tokenBytes = 8
	// homeSeparator separates the zone from the rest of an attempt ID or session name. Zone names
	// do not contain it.
	homeSeparator = "~"
)

// qualifiedName is the name of a program in a zone's group: zone:ZONE:TOKEN:NAME. The token is
// unique to the group: a group that is formed again after the loss of its disks has another one, so
// that a name in a lost record never refers to a different program.
type qualifiedName struct {
	zone  Home
	token string
	name  string
}

func (q qualifiedName) String() string {
	return zonePrefix + string(q.zone) + ":" + q.token + ":" + q.name
}

// parseQualified splits the name of a program in a zone's group. Names that have the prefix but not
// the whole form belong to the majority group.
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

// HomeOf returns the home of a program, which is encoded in its name.
func HomeOf(name string) Home {
	q, _ := parseQualified(name)
	return q.zone
}

// NameFits reports whether a program's name has at most limit bytes. The limit for a name in a
// zone's group, which includes the zone and token, is that of any name in a command.
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

// withHomePrefix returns an attempt ID or session name with its home encoded in it.
func (h Home) withHomePrefix(id string) string {
	if h == MajorityHome {
		return id
	}
	return string(h) + homeSeparator + id
}

// homeOfID returns the home that is encoded in an attempt ID or session name.
func homeOfID(id string) Home {
	zone, _, ok := strings.Cut(id, homeSeparator)
	if !ok {
		return MajorityHome
	}
	return Home(zone)
}

// HomeOfAttempt returns the home of the turn that an attempt runs, which is encoded in its ID.
func HomeOfAttempt(id string) Home { return homeOfID(id) }
