package jsonfile

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Lenient returns a document for positions in a text that another decoder reads with encoding/json.
// Its rules apply: field names match in any case, the last of equal fields counts, fields may be
// missing or unknown. target is a pointer to the struct that the text is decoded into, decodeErr
// the error of json.Unmarshal, which stands for the first error only. The document reports all
// values of a wrong type.
func Lenient(name string, text []byte, target any, decodeErr error) *Document {
	d := &Document{name: name, text: text, lenient: true}
	var syntax *json.SyntaxError
	if errors.As(decodeErr, &syntax) {
		// The offset is behind the offending byte, or at the end of a text that ends too early.
		offset := int(syntax.Offset)
		if offset > 0 && offset <= len(text) && !strings.Contains(syntax.Error(), "unexpected end") {
			offset--
		}
		d.add(offset, "", syntax.Error(), "")
		return d
	}
	root, err := hujson.Parse(validUTF8(text))
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.root, d.parsed = root, true
	w := typeWalker{doc: d}
	w.value(nil, &d.root, reflect.TypeOf(target).Elem())
	if decodeErr != nil && len(d.problems) == 0 {
		d.add(0, "", decodeErr.Error(), "")
	}
	return d
}

// Ignored returns the fields of a lenient document that its decoder ignores: unknown ones, and
// those that another field of the same name follows. At most MaxProblems.
func (d *Document) Ignored() Problems {
	return d.ignored
}

// ProblemAt returns a problem at the value at path, as Report does, without adding it.
func (d *Document) ProblemAt(message string, path ...any) Problem {
	scratch := &Document{name: d.name, text: d.text, root: d.root, parsed: d.parsed, lenient: d.lenient, lines: d.lines}
	scratch.Report(message, "", path...)
	d.lines = scratch.lines
	return scratch.problems[0]
}

// validUTF8 replaces invalid bytes, which encoding/json accepts in strings, without moving others.
func validUTF8(text []byte) []byte {
	if utf8.Valid(text) {
		return text
	}
	valid := bytes.Clone(text)
	for i := 0; i < len(valid); {
		r, size := utf8.DecodeRune(valid[i:])
		if r == utf8.RuneError && size == 1 {
			valid[i] = '?'
		}
		i += size
	}
	return valid
}

// typeWalker reports the values that json.Unmarshal can't store in a type, and unknown fields.
type typeWalker struct {
	doc *Document
}

func (w typeWalker) value(where *location, v *hujson.Value, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if v.Value.Kind() == 'n' {
		return // null leaves any value as it is
	}
	switch t.Kind() {
	case reflect.Struct:
		w.object(where, v, t)
	case reflect.Slice:
		w.array(where, v, t)
	default:
		w.literal(where, v, t)
	}
}

func (w typeWalker) object(where *location, v *hujson.Value, t reflect.Type) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		w.wrongType(where, v, "an object")
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		f := findFolded(fields, name)
		if f == nil {
			w.ignored(where.child(name), member, "unknown field, it is ignored", fieldNames(fields))
			continue
		}
		if seen[f.name] {
			w.ignored(where.child(name), member, "this field stands here twice, the last one counts", "")
		}
		seen[f.name] = true
		w.value(where.child(f.name), &member.Value, t.FieldByIndex(f.index).Type)
	}
}

func (w typeWalker) ignored(where *location, member *hujson.ObjectMember, message, allowed string) {
	d := w.doc
	if len(d.ignored) >= MaxProblems {
		return
	}
	line, column := d.position(member.Name.StartOffset)
	d.ignored = append(d.ignored, Problem{
		File: d.name, Line: line, Column: column, Field: where.String(), Message: message, Allowed: allowed,
	})
}

func (w typeWalker) array(where *location, v *hujson.Value, t reflect.Type) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		w.wrongType(where, v, "an array")
		return
	}
	for i := range array.Elements {
		w.value(where.child(i), &array.Elements[i], t.Elem())
	}
}

func (w typeWalker) literal(where *location, v *hujson.Value, t reflect.Type) {
	text, ok := v.Value.(hujson.Literal)
	out := reflect.New(t)
	if ok && json.Unmarshal(text, out.Interface()) == nil {
		return
	}
	r := reader(w)
	r.wrongLiteral(where, v, out.Elem(), nil)
}

func (w typeWalker) wrongType(where *location, v *hujson.Value, want string) {
	r := reader(w)
	r.wrongType(where, v, want)
}

// findFolded returns the field that encoding/json matches with a name: the exact one, or one that
// differs in case only.
func findFolded(fields []field, name string) *field {
	if f := findField(fields, name); f != nil {
		return f
	}
	for i := range fields {
		if strings.EqualFold(fields[i].name, name) {
			return &fields[i]
		}
	}
	return nil
}

// foldedMember returns the value that encoding/json takes for a field: the last one whose name
// matches in any case.
func foldedMember(object *hujson.Object, name string) *hujson.Value {
	for i := len(object.Members) - 1; i >= 0; i-- {
		if strings.EqualFold(memberName(&object.Members[i]), name) {
			return &object.Members[i].Value
		}
	}
	return nil
}

// HasProblemAround reports whether a problem has been reported at the value at path, at one that
// contains it, or at one within it. Further checks of such a value would report consequences of the
// same error.
func (d *Document) HasProblemAround(path ...any) bool {
	around := map[string]bool{"": true}
	where := (*location)(nil)
	for _, step := range path {
		where = where.child(step)
		around[where.String()] = true
	}
	field := where.String()
	for _, p := range d.problems {
		if around[p.Field] || strings.HasPrefix(p.Field, field+".") || strings.HasPrefix(p.Field, field+"[") {
			return true
		}
	}
	return false
}
