package gateway

import (
	"net/http"
	"net/url"

	"github.com/julienschmidt/httprouter"
)

// escaped returns the request with its path in escaped form. The router splits that one, so that
// a name with an escaped slash stays one part of the path.
func withEscapedPath(r *http.Request) *http.Request {
	return withPath(r, r.URL.EscapedPath())
}

// unescaped returns a handler that is given the path and its parameters as the caller means them.
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

// unescapePath undoes the escaping of a path that was parsed, and so is valid.
func unescapePath(escaped string) string {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped
	}
	return path
}
