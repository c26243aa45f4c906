package configlint

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of an entry that two configurations can differ in.
type Kind string

// Kinds of entries, in the order in which differences are listed.
const (
	KindLimits  Kind = "limits"
	KindRoute   Kind = "route"
	KindModel   Kind = "model"
	KindService Kind = "service"
	KindAccount Kind = "account"
	KindKey     Kind = "key"
	KindClass   Kind = "upstream class"
)

var kindOrder = []Kind{KindLimits, KindRoute, KindModel, KindService, KindAccount, KindKey, KindClass}

// Action is what happens to an entry.
type Action string

// Actions. An account's limit is lowered if its rate or its burst falls, and only otherwise raised.
// A key is moved if it belongs to another account afterwards.
const (
	Added     Action = "added"
	Removed   Action = "removed"
	Changed   Action = "changed"
	Lowered   Action = "limit lowered"
	Raised    Action = "limit raised"
	Withdrawn Action = "withdrawn"
	Moved     Action = "moved"
)

// Change is one difference between two configurations.
type Change struct {
	Kind   Kind   `json:"kind"`
	Action Action `json:"action"`
	// Name identifies the entry: the host and path prefix of a route, the short hash or ID of a key,
	// otherwise the name.
	Name string `json:"name"`
	// Details are the fields that differ, such as "rate from 20/s to 10/s".
	Details []string `json:"details,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s %s: %s", c.Kind, c.Action, c.Name)
	if c.Kind == KindLimits {
		text = fmt.Sprintf("%s %s", c.Kind, c.Action)
	}
	if len(c.Details) > 0 {
		text += ": " + strings.Join(c.Details, ", ")
	}
	return text
}

// entryID identifies an entry within a configuration. It may hold a key and must not be printed.
type entryID struct {
	kind Kind
	name string
}

// field is a field of an entry as text. Fields that an entry lists are compared by name.
type field struct{ name, value string }

// entry is an entry of a configuration in a form that can be compared.
type entry struct {
	fields []field
	// rate and burst are an account's limit; a rate of 0 is no limit.
	rate, burst float64
	account     string // of a key
	// label replaces the name in the output, for entries whose name is secret.
	label string
}

// label returns the name of an entry in the output.
func (id entryID) label(e entry) string {
	if e.label != "" {
		return e.label
	}
	return id.name
}

// diff lists the differences between two configurations by kind and name.
func diff(old, new map[entryID]entry) []Change {
	var changes []Change
	for id, before := range old {
		after, kept := new[id]
		switch {
		case !kept && id.kind == KindKey:
			changes = append(changes, Change{id.kind, Withdrawn, id.label(before), []string{"of account " + before.account}})
		case !kept:
			changes = append(changes, Change{Kind: id.kind, Action: Removed, Name: id.label(before)})
		default:
			changes = append(changes, compare(id, before, after)...)
		}
	}
	for id, after := range new {
		if _, existed := old[id]; existed {
			continue
		}
		c := Change{Kind: id.kind, Action: Added, Name: id.label(after)}
		if id.kind == KindKey {
			c.Details = []string{"of account " + after.account}
		}
		changes = append(changes, c)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
			cmp.Compare(a.Name, b.Name), cmp.Compare(a.Action, b.Action))
	})
	return changes
}

// compare returns the changes of an entry that both configurations have.
func compare(id entryID, before, after entry) []Change {
	var changes []Change
	if id.kind == KindKey {
		if before.account != after.account {
			changes = append(changes, Change{id.kind, Moved, id.label(after), []string{"from account " + before.account + " to " + after.account}})
		}
		return append(changes, changedFields(id, before, after)...)
	}
	if id.kind == KindAccount {
		changes = append(changes, compareLimits(id, before, after)...)
	}
	return append(changes, changedFields(id, before, after)...)
}

func changedFields(id entryID, before, after entry) []Change {
	var details []string
	for i, f := range before.fields {
		if after.fields[i].value != f.value {
			details = append(details, fmt.Sprintf("%s from %s to %s", f.name, orNone(f.value), orNone(after.fields[i].value)))
		}
	}
	if len(details) == 0 {
		return nil
	}
	return []Change{{id.kind, Changed, id.label(after), details}}
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// compareLimits reports a change of an account's rate limit.
func compareLimits(id entryID, before, after entry) []Change {
	var details []string
	rate := compareLimit(before.rate, after.rate)
	if rate != 0 {
		details = append(details, fmt.Sprintf("rate from %s to %s", rateText(before.rate), rateText(after.rate)))
	}
	burst := 0
	if after.rate > 0 && before.rate > 0 {
		burst = cmp.Compare(after.burst, before.burst)
	}
	if burst != 0 {
		details = append(details, fmt.Sprintf("burst from %g to %g", before.burst, after.burst))
	}
	switch {
	case rate < 0 || burst < 0:
		return []Change{{id.kind, Lowered, id.name, details}}
	case rate > 0 || burst > 0:
		return []Change{{id.kind, Raised, id.name, details}}
	}
	return nil
}

// compareLimit compares two rates, of which 0 and below is no limit. It returns -1 if the limit falls.
func compareLimit(before, after float64) int {
	switch {
	case before <= 0 && after <= 0:
		return 0
	case before <= 0:
		return -1
	case after <= 0:
		return 1
	}
	return cmp.Compare(after, before)
}

func rateText(rate float64) string {
	if rate <= 0 {
		return "unlimited"
	}
	return fmt.Sprintf("%g/s", rate)
}
