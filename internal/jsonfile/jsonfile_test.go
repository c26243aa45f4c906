package jsonfile

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type inner struct {
	ID string `json:"id" check:"format=id"`
}

type schema struct {
	inner
	Rate   float64           `json:"rate" check:"above=0,max=10"`
	Level  string            `json:"level,omitempty" check:"oneof=a|b"`
	Secret string            `json:"secret,omitempty" check:"minlen=16"`
	List   []inner           `json:"list,omitempty"`
	Names  map[string]string `json:"names,omitempty" check:"format=name"`
	On     bool              `json:"on,omitempty"`
	Count  uint64            `json:"count,omitempty" check:"min=1"`
}

func problemsOf(t *testing.T, text string) []string {
	t.Helper()
	err := Decode("f", []byte(text), 1000, &schema{}).Err()
	if err == nil {
		return nil
	}
	var lines []string
	for _, p := range err.(Problems) {
		lines = append(lines, p.String())
	}
	return lines
}

func TestDecode_AcceptsCommentsAndTrailingCommas(t *testing.T) {
	var s schema
	doc := Decode("f", []byte("// note [[[\n{\"id\": \"a\", /* \" */ \"rate\": 2.5, \"names\": {\"x\": \"N/1\"}, \"list\": [{\"id\": \"b\"},],}"), 1000, &s)
	require.NoError(t, doc.Err())
	require.Equal(t, schema{inner: inner{"a"}, Rate: 2.5, Names: map[string]string{"x": "N/1"}, List: []inner{{"b"}}}, s)
}

func TestDecode_ReportsAllProblemsWithPositions(t *testing.T) {
	got := problemsOf(t, "{\n \"id\": \"Ä\", \"on\": 1,\n \"rate\": 0, \"rat\": 1,\n \"rate\": 1, \"level\": \"a|b\",\n \"list\": [{}, {\"id\": null}], \"count\": -1,\n \"secret\": \"hunter2\"}")
	require.Equal(t, []string{
		`f:2:8: id: impossible value "Ä"; allowed: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'`,
		`f:2:19: on: wrong type: this is the number 1; allowed: true or false`,
		`f:3:10: rate: impossible value 0; allowed: a number above 0, at most 10`,
		`f:3:13: rat: unknown field; allowed: id, rate, level, secret, list, names, on, count`,
		`f:4:2: rate: this field stands here twice`,
		`f:4:22: level: impossible value "a|b"; allowed: one of a, b`,
		`f:5:11: list[0].id: this field is missing; allowed: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'`,
		`f:5:22: list[1].id: wrong type: this is null; allowed: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'`,
		`f:5:39: count: wrong type: this is the number -1; allowed: at least 1`,
		`f:6:12: secret: impossible value (not shown); allowed: a string of at least 16 characters`,
	}, got)
}

func TestDecode_RejectsInvalidText(t *testing.T) {
	require.Equal(t, []string{"f:1:1: the file has 1001 bytes; allowed: at most 1000 bytes"}, problemsOf(t, strings.Repeat(" ", 1001)))
	require.Equal(t, []string{"f:1:33: nested too deeply; allowed: at most 32 levels"}, problemsOf(t, strings.Repeat("[", 500)))
	require.Equal(t, []string{"f:1:38: secret: wrong type: this is a number; allowed: a string of at least 16 characters"},
		problemsOf(t, `{"id": "a", "rate": 1,    "secret":  1234567890123456}`), "a secret is not shown")
	require.Equal(t, []string{"f:2:2: this is not UTF-8"}, problemsOf(t, "{\n \xff}"))
	require.Equal(t, []string{"f:1:1: wrong type: this is an array; allowed: an object"}, problemsOf(t, "[]"))
	require.Equal(t, []string{"f:2:6: invalid character 'n' after object name"}, problemsOf(t, "{\n\"id\" nul}"))
}

func TestDecode_FieldsWithProblemsKeepTheirZeroValue(t *testing.T) {
	var s schema
	require.Error(t, Decode("f", []byte(`{"id": "a", "rate": 11, "level": "c", "list": [{"id": "B"}]}`), 1000, &s).Err())
	require.Equal(t, schema{inner: inner{"a"}, List: []inner{{}}}, s)
}

func TestDecode_LimitsTheListOfProblems(t *testing.T) {
	text := "[" + strings.Repeat("{},", MaxProblems+5) + "]"
	var target struct {
		List []inner `json:"list"`
	}
	err := Decode("f", []byte(`{"list":`+text+`}`), len(text)+20, &target).Err().(Problems)
	require.Len(t, err, MaxProblems+1)
	require.Equal(t, "5 more problems are not listed", err[MaxProblems].Message)
}

func TestFormats(t *testing.T) {
	for name, cases := range map[string]struct{ good, bad []string }{
		"address": {[]string{"127.0.0.1:1", "[::1]:65535"}, []string{"", "host:1", "127.0.0.1", "127.0.0.1:0", ":80"}},
		"path":    {[]string{"/", "/a", "/a/b/"}, []string{"", "a", "//", "/a//b", "/../a", "/a/./b", "/a?b", "/%61"}},
		"sha256":  {[]string{strings.Repeat("0f", 32)}, []string{strings.Repeat("0F", 32), strings.Repeat("0", 63)}},
		"id":      {[]string{"a.b_c-1"}, []string{"", "A", "a/b", strings.Repeat("a", 65)}},
		"host":    {[]string{"vm-1"}, []string{"vm.1", ""}},
		"name":    {[]string{"A/b:1"}, []string{"a b", "*"}},
	} {
		for _, s := range cases.good {
			require.True(t, formats[name].valid(s), "%s %q", name, s)
		}
		for _, s := range cases.bad {
			require.False(t, formats[name].valid(s), "%s %q", name, s)
		}
	}
}
