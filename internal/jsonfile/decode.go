package jsonfile

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth limits how deeply arrays and objects nest, and with it the recursion of the parser.
const maxDepth = 32

// Decode decodes text into target, a pointer to the struct that is the file's schema. Text longer
// than maxBytes is a problem. The name is the file name in the problems. Fields with problems
// keep their zero value.
func Decode(name string, text []byte, maxBytes int, target any) *Document {
	d := &Document{name: name, text: text}
	if !d.parse(maxBytes) {
		return d
	}
	r := reader{doc: d}
	r.value(nil, &d.root, reflect.ValueOf(target).Elem(), nil)
	return d
}

func (d *Document) parse(maxBytes int) bool {
	if len(d.text) > maxBytes {
		d.add(0, "", fmt.Sprintf("the file has %d bytes", len(d.text)), fmt.Sprintf("at most %d bytes", maxBytes))
		return false
	}
	if !utf8.Valid(d.text) {
		d.add(firstInvalidByte(d.text), "", "this is not UTF-8", "")
		return false
	}
	if offset, deep := tooDeep(d.text); deep {
		d.add(offset, "", "nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		return false
	}
	root, err := hujson.Parse(d.text)
	if err != nil {
		d.addSyntaxError(err)
		return false
	}
	d.root, d.parsed = root, true
	return true
}

func firstInvalidByte(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(text)
}

// tooDeep returns the offset of the first bracket that exceeds maxDepth, outside of strings and
// comments. It runs before the parser, which recurses once per level: a stack overflow can't be
// recovered from.
func tooDeep(text []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string that starts at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i, or i if none does.
func skipComment(text []byte, i int) int {
	start := i + 2
	end := ""
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(text[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	length := bytes.Index(text[start:], []byte(end))
	if length < 0 {
		return len(text)
	}
	return start + length + len(end) - 1
}

// addSyntaxError adds a parser error as a problem. The parser's message starts with the line and
// column, which move to the problem's position.
func (d *Document) addSyntaxError(err error) {
	line, column := 1, 1
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	d.problems = append(d.problems, Problem{File: d.name, Line: line, Column: column, Message: message})
}

// field is one field of a schema struct.
type field struct {
	name     string
	index    []int
	required bool
	checks   []check
}

// reader decodes one document.
type reader struct {
	doc *Document
}

// schemas caches the result of fieldsOf for each schema struct: reflect.Type to []field.
var schemas sync.Map

func (r *reader) value(where *location, v *hujson.Value, out reflect.Value, checks []check) {
	switch out.Kind() {
	case reflect.Struct:
		r.object(where, v, out)
	case reflect.Slice:
		r.array(where, v, out, checks)
	case reflect.Map:
		r.mapping(where, v, out, checks)
	default:
		r.literal(where, v, out, checks)
	}
}

func (r *reader) wrongType(where *location, v *hujson.Value, want string) {
	r.doc.add(v.StartOffset, where.String(), "wrong type: this is "+kindName(v), want)
}

// wrongLiteral reports a literal of the wrong type. Where a number is expected, the message
// contains the number found, such as -1 for an unsigned field.
func (r *reader) wrongLiteral(where *location, v *hujson.Value, out reflect.Value, checks []check) {
	want := expectedLiteral(out, checks)
	if v.Value.Kind() == '0' && out.Kind() != reflect.String {
		message := "wrong type: this is the number " + string(v.Value.(hujson.Literal))
		r.doc.add(v.StartOffset, where.String(), message, want)
		return
	}
	r.wrongType(where, v, want)
}

func (r *reader) object(where *location, v *hujson.Value, out reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.wrongType(where, v, "an object")
		return
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		if r.reportDuplicate(where, member, name, seen) {
			continue
		}
		f := findField(fields, name)
		if f == nil {
			r.doc.add(member.Name.StartOffset, where.child(name).String(), "unknown field", fieldNames(fields))
			continue
		}
		r.value(where.child(name), &member.Value, out.FieldByIndex(f.index), f.checks)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			r.doc.add(v.StartOffset, where.child(f.name).String(), "this field is missing", allowed(f.checks))
		}
	}
}

// reportDuplicate records a member's name in seen and reports whether it was there already, which
// is a problem.
func (r *reader) reportDuplicate(where *location, member *hujson.ObjectMember, name string, seen map[string]bool) bool {
	if seen[name] {
		r.doc.add(member.Name.StartOffset, where.child(name).String(), "this field stands here twice", "")
		return true
	}
	seen[name] = true
	return false
}

func (r *reader) array(where *location, v *hujson.Value, out reflect.Value, checks []check) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.wrongType(where, v, "an array")
		return
	}
	elements := reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		r.value(where.child(i), &array.Elements[i], elements.Index(i), checks)
	}
	out.Set(elements)
}

func (r *reader) mapping(where *location, v *hujson.Value, out reflect.Value, checks []check) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.wrongType(where, v, "an object")
		return
	}
	out.Set(reflect.MakeMapWithSize(out.Type(), len(object.Members)))
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		if r.reportDuplicate(where, member, name, seen) {
			continue
		}
		element := reflect.New(out.Type().Elem()).Elem()
		r.value(where.child(name), &member.Value, element, checks)
		out.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (r *reader) literal(where *location, v *hujson.Value, out reflect.Value, checks []check) {
	text, ok := v.Value.(hujson.Literal)
	if !ok || !setLiteral(text, out) {
		r.wrongLiteral(where, v, out, checks)
		return
	}
	for _, c := range checks {
		if !c.accepts(out) {
			r.doc.add(v.StartOffset, where.String(), "impossible value "+displayText(text, c), allowed(checks))
			out.SetZero()
			return
		}
	}
}

// setLiteral stores the literal in out. It returns false if the literal is not of out's type.
func setLiteral(text hujson.Literal, out reflect.Value) bool {
	switch out.Kind() {
	case reflect.String:
		if text.Kind() != '"' {
			return false
		}
		out.SetString(unquote(text))
	case reflect.Bool:
		if text.Kind() != 't' && text.Kind() != 'f' {
			return false
		}
		out.SetBool(text.Bool())
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil {
			return false
		}
		out.SetInt(n)
	case reflect.Uint64:
		n, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return false
		}
		out.SetUint(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(string(text), 64)
		if text.Kind() != '0' || err != nil || math.IsInf(n, 0) {
			return false
		}
		out.SetFloat(n)
	default:
		panic("jsonfile: schema has a field of type " + out.Type().String())
	}
	return true
}

func fieldsOf(t reflect.Type) []field {
	if fields, ok := schemas.Load(t); ok {
		return fields.([]field)
	}
	var fields []field
	for _, f := range reflect.VisibleFields(t) {
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous || name == "" || name == "-" {
			continue
		}
		fields = append(fields, field{
			name:     name,
			index:    f.Index,
			required: !strings.Contains(options, "omitempty"),
			checks:   parseChecks(f.Tag.Get("check")),
		})
	}
	schemas.Store(t, fields)
	return fields
}

func findField(fields []field, name string) *field {
	for i := range fields {
		if fields[i].name == name {
			return &fields[i]
		}
	}
	return nil
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

func memberName(member *hujson.ObjectMember) string {
	return unquote(member.Name.Value.(hujson.Literal))
}

// unquote returns the value of a string literal that the parser accepted. Strings without escapes
// take a fast path, since large files consist mostly of them.
func unquote(text hujson.Literal) string {
	if bytes.IndexByte(text, '\\') < 0 {
		return string(text[1 : len(text)-1])
	}
	return text.String()
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	}
	return "an array"
}

func expectedLiteral(out reflect.Value, checks []check) string {
	if text := allowed(checks); text != "" {
		return text
	}
	switch out.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
