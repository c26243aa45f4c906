package gateway

import (
	"net/http"
	"net/url"

	"github.com/julienschmidt/httprouter"
)

// withEscapedPath returns the request with its path in escaped form. The router splits the escaped
// path, so that a name with an escaped slash stays one path segment.
func withEscapedPath(r *http.Request) *http.Request {
	return withPath(r, r.URL.EscapedPath())
}

// withUnescapedPath returns a handler that unescapes the path and its parameters before it calls next.
func withUnescapedPath(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		for i := range params {
			params[i].Value = unescapePath(params[i].Value)
		}
		next(w, withPath(r, unescapePath(r.URL.Path)), params)
	}
}

func withPath(r *http.Request, path string) *http.Request {
	u := *r.URL
	u.Path = path
	other := *r
	other.URL = &u
	return &other
}

// unescapePath unescapes a path that net/url has parsed, so its escaping is valid.
func unescapePath(escaped string) string {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped
	}
	return path
}
