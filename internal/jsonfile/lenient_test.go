package jsonfile

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lenient checks a text against the schema of the other tests and returns its problems, and those of
// its ignored fields.
func lenient(text string) (problems, ignored []string) {
	var s schema
	d := Lenient("f", []byte(text), &s, json.Unmarshal([]byte(text), &s))
	if err := d.Err(); err != nil {
		problems = strings.Split(err.Error(), "\n")
	}
	for _, p := range d.Ignored() {
		ignored = append(ignored, p.String())
	}
	return problems, ignored
}

// TestLenient_ReportsAllWrongTypes guards against a report that ends at the first wrong type, as the
// error of encoding/json does, and against one that is stricter than encoding/json.
func TestLenient_ReportsAllWrongTypes(t *testing.T) {
	for _, c := range []struct {
		text     string
		problems []string
		ignored  []string
	}{
		{text: `{"id": "a", "RATE": 2, "list": [{"id": null}], "count": 3, "on": true}`},
		{text: "{\"id\": \"\xff\xfe\", \"rate\": 1}"},
		{text: "{\"id\": 1,\n \"Rate\": \"x\", \"list\": [{\"id\": 7}, 5],\n \"on\": [], \"count\": 1.0}", problems: []string{
			`f:1:8: id: wrong type: this is a number; allowed: a string`,
			`f:2:10: rate: wrong type: this is a string; allowed: a number`,
			`f:2:31: list[0].id: wrong type: this is a number; allowed: a string`,
			`f:2:35: list[1]: wrong type: this is a number; allowed: an object`,
			`f:3:8: on: wrong type: this is an array; allowed: true or false`,
			`f:3:21: count: wrong type: this is the number 1.0; allowed: a whole number`,
		}},
		{text: "{\"idd\": 1,\n \"id\": \"a\", \"Id\": \"b\"}", ignored: []string{
			"f:1:2: idd: unknown field, it is ignored; allowed: id, rate, level, secret, list, names, on, count",
			"f:2:13: Id: this field stands here twice, the last one counts",
		}},
		{text: `[]`, problems: []string{`f:1:1: wrong type: this is an array; allowed: an object`}},
		{text: "{\"id\":\n x}", problems: []string{"f:2:2: invalid character 'x' looking for beginning of value"}},
		{text: "{\"id\":\n", problems: []string{"f:2:1: unexpected end of JSON input"}},
		{text: "{} // comment", problems: []string{"f:1:4: invalid character '/' after top-level value"}},
		{text: "", problems: []string{"f:1:1: unexpected end of JSON input"}},
	} {
		problems, ignored := lenient(c.text)
		require.Equal(t, c.problems, problems, c.text)
		require.Equal(t, c.ignored, ignored, c.text)
	}
}

func TestLenient_LocatesTheValueThatCounts(t *testing.T) {
	text := "{\"id\": \"a\",\n \"ID\": \"b\", \"list\": [{\"id\": \"c\"}]}"
	var s schema
	d := Lenient("f", []byte(text), &s, json.Unmarshal([]byte(text), &s))
	require.Equal(t, "b", s.ID)
	require.Equal(t, "f:2:8: id: m", d.ProblemAt("m", "id").String())
	require.Equal(t, "f:2:29: list[0].id: m", d.ProblemAt("m", "list", 0, "id").String())
	require.Equal(t, "f:2:21: list[1].id: m", d.ProblemAt("m", "list", 1, "id").String(), "the closest ancestor that exists")
	require.NoError(t, d.Err())
	d.Report("m", "", "list", 0)
	for path, around := range map[string]bool{"list": true, "id": false} {
		require.Equal(t, around, d.HasProblemAround(path), path)
	}
	require.True(t, d.HasProblemAround("list", 0, "id"))
	require.False(t, d.HasProblemAround("list", 1))
}
