package responsecheck

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestTransport_InvalidResponse guards against invalid responses that pass with TLS or on a connection that was used before.
func TestTransport_InvalidResponse(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw := "HTTP/1.1 200 OK\r\nO dd: v\r\nContent-Length: 0\r\n\r\n"
		if r.URL.Path == "/valid" {
			raw = "HTTP/1.1 200 OK\r\nOdd: v\r\nContent-Length: 0\r\n\r\n"
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, raw)
			_ = c.Close()
		}
	})
	plain, secure := httptest.NewServer(handler), httptest.NewTLSServer(handler)
	t.Cleanup(plain.Close)
	t.Cleanup(secure.Close)
	for url, config := range map[string]*tls.Config{plain.URL: nil, secure.URL: secure.Client().Transport.(*http.Transport).TLSClientConfig} {
		client := &http.Client{Transport: NewTransport(config)}
		for range 2 {
			response, err := client.Get(url + "/valid")
			require.NoError(t, err, url)
			require.Equal(t, "v", response.Header.Get("Odd"))
			require.NoError(t, response.Body.Close())
			_, err = client.Get(url + "/invalid")
			require.True(t, errors.Is(err, ErrInvalid), "%s: %v", url, err)
		}
	}
}
