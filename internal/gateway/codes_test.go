package gateway

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/program"
)

const apiPage = "../../docs/API.md"

// statusOfHelper maps each helper function of refusals.go to the HTTP status of its refusals.
var statusOfHelper = map[string]int{
	"badRequest":   http.StatusBadRequest,
	"unauthorized": http.StatusUnauthorized,
	"forbidden":    http.StatusForbidden,
	"notKnown":     http.StatusNotFound,
	"unavailable":  http.StatusServiceUnavailable,
	"failed":       http.StatusBadGateway,
}

// otherStatuses maps codes to statuses that are not set by a helper function or in a literal.
var otherStatuses = map[string]int{
	"upstream_timeout": http.StatusGatewayTimeout,
	"rate_limited":     http.StatusTooManyRequests,
	"no_lease":         http.StatusServiceUnavailable,
	"unknown_account":  http.StatusServiceUnavailable,
}

// httpStatuses maps the names of the net/http constants that refusals use to their values.
var httpStatuses = map[string]int{
	"StatusBadRequest":            http.StatusBadRequest,
	"StatusUnauthorized":          http.StatusUnauthorized,
	"StatusNotFound":              http.StatusNotFound,
	"StatusMethodNotAllowed":      http.StatusMethodNotAllowed,
	"StatusGone":                  http.StatusGone,
	"StatusUnprocessableEntity":   http.StatusUnprocessableEntity,
	"StatusRequestEntityTooLarge": http.StatusRequestEntityTooLarge,
	"StatusServiceUnavailable":    http.StatusServiceUnavailable,

	"StatusRequestHeaderFieldsTooLarge": http.StatusRequestHeaderFieldsTooLarge,
	"StatusNotImplemented":              http.StatusNotImplemented,
	"StatusHTTPVersionNotSupported":     http.StatusHTTPVersionNotSupported,
}

// codes collects the codes of the refusals in source files, with their statuses.
type codes struct {
	t         *testing.T
	constants map[string]string // values of the constants of type Code or Reason, by name
	found     map[string]map[int]bool
}

func (c *codes) add(code string, status int) {
	if other, ok := otherStatuses[code]; ok {
		status = other
	}
	if c.found[code] == nil {
		c.found[code] = map[int]bool{}
	}
	c.found[code][status] = true
}

func (c *codes) parse(pattern string) []*ast.File {
	paths, err := filepath.Glob(pattern)
	require.NoError(c.t, err)
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(c.t, err)
		files = append(files, file)
	}
	require.NotEmpty(c.t, files, pattern)
	return files
}

// constantsOf registers the string constants of the types Code and Reason and returns their values.
func (c *codes) constantsOf(files []*ast.File) (values []string) {
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 {
				return true
			}
			if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Code" && kind.Name != "Reason" {
				return true
			}
			value := c.value(spec.Values[0])
			c.constants[spec.Names[0].Name] = value
			values = append(values, value)
			return true
		})
	}
	return values
}

// value returns the string value of a literal, a constant, or a conversion of one, and "" for any
// other expression.
func (c *codes) value(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		require.NoError(c.t, err)
		return text
	case *ast.Ident:
		return c.constants[e.Name]
	case *ast.SelectorExpr:
		return c.constants[e.Sel.Name]
	case *ast.CallExpr:
		return c.value(e.Args[0])
	}
	return ""
}

func (c *codes) refusalsOf(files []*ast.File) {
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				_, helper := statusOfHelper[n.Name.Name]
				return !helper
			case *ast.CallExpr:
				c.call(n)
			case *ast.CompositeLit:
				c.literal(n)
			}
			return true
		})
	}
}

func (c *codes) call(n *ast.CallExpr) {
	helper, ok := n.Fun.(*ast.Ident)
	if !ok || len(n.Args) < 2 {
		return
	}
	status, ok := statusOfHelper[helper.Name]
	if !ok {
		return
	}
	code := c.value(n.Args[0])
	require.NotEmpty(c.t, code, "the code in a call of %s is neither a literal nor a constant", helper.Name)
	c.add(code, status)
}

func (c *codes) literal(n *ast.CompositeLit) {
	kind, ok := n.Type.(*ast.SelectorExpr)
	if !ok || kind.Sel.Name != "Refusal" {
		return
	}
	code, status := "", 0
	for _, element := range n.Elts {
		pair := element.(*ast.KeyValueExpr)
		switch pair.Key.(*ast.Ident).Name {
		case "Code":
			code = c.value(pair.Value)
		case "Status":
			if name, ok := pair.Value.(*ast.SelectorExpr); ok {
				status = httpStatuses[name.Sel.Name]
			}
		}
	}
	if code != "" {
		require.NotZero(c.t, status, "httpStatuses lacks the status of code %s", code)
		c.add(code, status)
	}
}

// documentedCodes returns the codes in the API page's tables, with their statuses.
func documentedCodes(t *testing.T) map[string]string {
	page, err := os.ReadFile(apiPage)
	require.NoError(t, err)
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9, ]+) \\|")
	listed := map[string]string{}
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		require.NotContains(t, listed, match[1], "listed twice")
		listed[match[1]] = match[2]
	}
	return listed
}

// TestAPIPage_ListsEveryRefusal compares the codes and statuses in the source with those of the API page.
func TestAPIPage_ListsEveryRefusal(t *testing.T) {
	c := &codes{t: t, constants: map[string]string{}, found: map[string]map[int]bool{}}
	programFiles := c.parse("../program/*.go")
	programCodes := c.constantsOf(programFiles)
	for _, reason := range c.constantsOf(c.parse("../ratelimit/messages.go")) {
		require.Contains(t, otherStatuses, reason, "otherStatuses lacks the status of the limiter's reason")
		c.add(reason, 0)
	}
	for _, code := range programCodes {
		if code != string(program.CodeOK) && code != string(program.CodeUnavailable) {
			refused := &program.RefusedError{Result: program.Result{Code: program.Code(code)}}
			c.add(code, program.Refusal(refused).Status)
		}
	}
	c.refusalsOf(programFiles)
	c.refusalsOf(c.parse("*.go"))
	c.refusalsOf(c.parse("../fleet/permits.go"))

	inCode := map[string]string{}
	for code, statuses := range c.found {
		var list []string
		for status := range statuses {
			list = append(list, fmt.Sprint(status))
		}
		slices.Sort(list)
		inCode[code] = strings.Join(list, ", ")
	}
	require.Equal(t, inCode, documentedCodes(t), "docs/API.md and the refusals in the code differ")
}
