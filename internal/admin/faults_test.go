package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/admin/api"
)

func TestServer_CutsLinksOnlyWhereAllowed(t *testing.T) {
	var cut []api.Links
	post := func(o Options, body string) int {
		w := httptest.NewRecorder()
		New(o).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, api.PathLinks, strings.NewReader(body)))
		return w.Code
	}
	allowed := Options{Backend: &fakeBackend{}, CutLinks: func(l api.Links) { cut = append(cut, l) }}
	require.Equal(t, http.StatusNotFound, post(Options{Backend: &fakeBackend{}}, `{"cut": ["b"]}`))
	require.Equal(t, http.StatusBadRequest, post(allowed, `{"vms": ["b"]}`))
	require.Empty(t, cut)
	require.Equal(t, http.StatusOK, post(allowed, `{"cut": ["b"], "cut_to": ["c"]}`))
	require.Equal(t, []api.Links{{Cut: []string{"b"}, CutTo: []string{"c"}}}, cut)
}
