package routing

import "fmt"

// Section is the part of a table in which a place lies.
type Section string

// Sections of a table.
const (
	SectionTable    Section = "" // the table itself
	SectionRoutes   Section = "routes"
	SectionServices Section = "services"
	SectionAccounts Section = "accounts"
	SectionLimits   Section = "limits"
)

// Field is the field of an entry in which a place lies.
type Field int

// Fields of the entries. FieldEntry is the entry as a whole, FieldTargets the list of a route's
// targets. FieldTarget, FieldWeight and FieldKey refer to one element of a list, Place.Element.
const (
	FieldEntry Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPathPrefix
	FieldTimeout
	FieldTargetLatency
	FieldEventGap
	FieldPriority
	FieldTargets
	FieldTarget // the service of a target
	FieldWeight // the weight of a target
	FieldMaxAttempts
	FieldRetention
	FieldResumable
	FieldKey
	FieldRate
	FieldBurst
)

// Place identifies a value of a table.
type Place struct {
	Section Section
	Index   int // of the entry in its section
	Field   Field
	Element int // of the field's list
}

// Problem is an error in a table.
type Problem struct {
	Place   Place
	Name    string // of the entry
	Message string
}

// MaxProblems is the maximum number of problems that Compile collects, so that a large table with
// the same error in each entry doesn't fill the memory.
const MaxProblems = 1000

// Problems is the error of Compile: the problems of a table, at most MaxProblems.
type Problems []Problem

// Error describes the first problem and the number of the others.
func (p Problems) Error() string {
	first := fmt.Sprintf("%s[%d] (%s): %s", p[0].Place.Section, p[0].Place.Index, p[0].Name, p[0].Message)
	if len(p) == 1 {
		return first
	}
	return fmt.Sprintf("%s (and %d more problems)", first, len(p)-1)
}

func (p *Problems) add(place Place, name, format string, args ...any) {
	if len(*p) < MaxProblems {
		*p = append(*p, Problem{Place: place, Name: name, Message: fmt.Sprintf(format, args...)})
	}
}
