package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/refusal"
)

// caller is the authenticated sender of a request. account is nil for a caller without a key.
type caller struct {
	snapshot *config.Snapshot
	account  *config.ClientAccount
	key      string
	keyID    string
	hash     string
}

// retryAfterNoControl is the Retry-After of refusals while this VM has no configuration or has lost
// contact with the control plane.
const retryAfterNoControl = 2 * time.Second

// identify looks up the account of the request's key. For a request without a key, the caller's
// account is nil.
func (s *Server) identify(r *http.Request) (*caller, *refusal.Refusal) {
	snapshot := s.opts.Authority.Snapshot()
	if snapshot == nil {
		return nil, unavailable("no_configuration", "no configuration is in force on this VM yet", retryAfterNoControl)
	}
	header := r.Header.Get("Authorization")
	if header == "" {
		return &caller{snapshot: snapshot}, nil
	}
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return nil, unauthorized("bad_authorization", "the Authorization header must be: Bearer KEY")
	}
	key = strings.TrimSpace(key)
	hash := config.HashKey(key)
	account, keyID, ok := snapshot.KeyAccount(hash)
	if !ok || s.opts.Authority.Withdrawn(keyID, hash) {
		return nil, unauthorized("invalid_api_key", "the key is not known or has been withdrawn")
	}
	return &caller{snapshot: snapshot, account: account, key: key, keyID: keyID, hash: hash}, nil
}

// authenticate identifies the caller of a request that requires a key.
func (s *Server) authenticate(r *http.Request) (*caller, *refusal.Refusal) {
	c, refused := s.identify(r)
	if refused != nil {
		return nil, refused
	}
	if c.account == nil {
		return nil, unauthorized("missing_api_key", "this call needs a key: Authorization: Bearer KEY")
	}
	return c, s.checkCurrent(c)
}

// checkCurrent refuses a request with a key if this VM has been cut off for longer than the cutoff
// limit and so may have missed a key's withdrawal.
func (s *Server) checkCurrent(c *caller) *refusal.Refusal {
	limit := c.account.CutoffLimitSeconds
	if limit == 0 {
		limit = c.snapshot.CutoffLimitSeconds()
	}
	if !s.opts.Authority.Current(time.Duration(limit * float64(time.Second))) {
		return unavailable("cut_off", "this VM is cut off from the fleet; another one may serve the request", retryAfterNoControl)
	}
	return nil
}

// readBody reads the whole body, of at most maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &refusal.Refusal{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: "the body is larger than 8 MiB", NotRun: refusal.True}
	}
	return nil, badRequest("bad_body", "the body could not be read whole")
}

// checkKeyNotForwarded refuses a request that contains the caller's key outside the Authorization
// header, because nothing that is sent to an upstream may contain it. bodies are the body as sent
// and the body with its JSON escapes resolved.
func checkKeyNotForwarded(c *caller, r *http.Request, bodies ...[]byte) *refusal.Refusal {
	if c.key == "" {
		return nil
	}
	refused := badRequest("key_in_request", "the key may stand in the Authorization header only")
	for _, body := range bodies {
		if bytes.Contains(body, []byte(c.key)) {
			return refused
		}
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		for _, v := range values {
			if strings.Contains(v, c.key) {
				return refused
			}
		}
	}
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		query = r.URL.RawQuery
	}
	if strings.Contains(r.URL.Path, c.key) || strings.Contains(query, c.key) || strings.Contains(r.RequestURI, c.key) {
		return refused
	}
	return nil
}
