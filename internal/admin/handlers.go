package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/admin/api"
	"egretramp/internal/config"
	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/jsonfile"
)

// fileName is the file name reported in the problems of a file received over the API.
const fileName = "configuration"

func (s *Server) apply(w http.ResponseWriter, r *http.Request) (any, error) {
	request, wait, err := readApply(w, r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	applied, err := s.backend.Apply(ctx, request)
	if err != nil {
		return nil, err
	}
	s.logger.Emit(events.AdminApplied,
		zap.Uint64("generation", applied.Generation),
		zap.String("hash", applied.Hash),
		zap.String("operator", request.Operator))
	if wait > 0 {
		applied.InForce = s.waitInForce(r.Context(), applied.Generation, wait)
	}
	return applied, nil
}

func readApply(w http.ResponseWriter, r *http.Request) (ApplyRequest, time.Duration, error) {
	query := r.URL.Query()
	request := ApplyRequest{Operator: query.Get("operator"), RequestID: query.Get("request_id")}
	if proven := authenticatedOperator(r.Context()); proven != "" {
		request.Operator = proven
	}
	if !isValidName(request.Operator) {
		return request, 0, badRequest("operator has to be named: 1 to %d characters", control.MaxNameLength)
	}
	if request.RequestID != "" && !isValidName(request.RequestID) {
		return request, 0, badRequest("request_id has 1 to %d characters", control.MaxNameLength)
	}
	wait, err := readWait(query.Get("wait"))
	if err != nil {
		return request, 0, err
	}
	request.Text, err = readBody(w, r, config.MaxBytes)
	if err != nil {
		return request, 0, err
	}
	_, err = config.Parse(fileName, request.Text)
	var problems jsonfile.Problems
	if errors.As(err, &problems) {
		return request, 0, api.FileError(problems)
	}
	return request, wait, err
}

func readWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	// The negated range check also rejects NaN.
	if err != nil || !(seconds >= 0 && seconds <= api.MaxWaitSeconds) {
		return 0, badRequest("wait is a number of seconds from 0 to %d", api.MaxWaitSeconds)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func isValidName(s string) bool {
	length := utf8.RuneCountInString(s)
	return utf8.ValidString(s) && length >= 1 && length <= control.MaxNameLength
}

// waitInForce polls the VMs until the generation is in force on all of them or the wait expires,
// and returns the last result. The file is already accepted, so an error here doesn't fail the
// request: it only ends the wait early.
func (s *Server) waitInForce(ctx context.Context, generation uint64, wait time.Duration) *api.InForce {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	last := &api.InForce{}
	for {
		state, err := s.backend.InForce(ctx)
		if err != nil {
			return last
		}
		last = &state
		if state.Done(generation) {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(pollInterval):
		}
	}
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) (any, error) {
	var request api.WithdrawRequest
	if err := readJSON(w, r, api.MaxWithdrawBytes, &request, `{"key_ids": [...]}`); err != nil {
		return nil, err
	}
	if n := len(request.KeyIDs); n == 0 || n > control.MaxWithdrawnIDs {
		return nil, badRequest("%d key IDs; allowed are 1 to %d", n, control.MaxWithdrawnIDs)
	}
	for _, id := range request.KeyIDs {
		if !isValidName(id) {
			return nil, badRequest("a key ID has 1 to %d characters", control.MaxNameLength)
		}
	}
	withdrawn, err := s.backend.WithdrawKeys(r.Context(), request.KeyIDs)
	if err != nil {
		return nil, err
	}
	s.logger.Emit(events.AdminWithdrawn,
		zap.Int("now", len(withdrawn.Now)),
		zap.Int("already", len(withdrawn.Already)),
		zap.Int("unknown", len(withdrawn.Unknown)),
		zap.String("operator", authenticatedOperator(r.Context())))
	return withdrawn, nil
}

func (s *Server) status(_ http.ResponseWriter, r *http.Request) (any, error) {
	status, err := s.backend.Status(r.Context())
	if err != nil {
		return nil, err
	}
	status.Config = nil
	if status.ConfigText != "" && r.URL.Query().Get("config") == "true" {
		file, err := config.Parse(fileName, []byte(status.ConfigText))
		if err != nil {
			return nil, errors.Wrap(err, "admin: the configuration in force has problems")
		}
		status.Config = file.Redact()
	}
	return status, nil
}

func (s *Server) dump(_ http.ResponseWriter, r *http.Request) (any, error) {
	return s.backend.Dump(r.Context())
}

func (s *Server) programs(_ http.ResponseWriter, r *http.Request) (any, error) {
	query := ProgramsQuery{Account: r.URL.Query().Get("account"), Limit: api.DefaultPrograms}
	if text := r.URL.Query().Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > api.MaxPrograms {
			return nil, badRequest("limit is a number from 1 to %d", api.MaxPrograms)
		}
		query.Limit = limit
	}
	if query.Account != "" && !isValidName(query.Account) {
		return nil, badRequest("account has 1 to %d characters", control.MaxNameLength)
	}
	return s.backend.Programs(r.Context(), query)
}

func (s *Server) upstreams(_ http.ResponseWriter, r *http.Request) (any, error) {
	return s.backend.Upstreams(r.Context())
}

func (s *Server) placement(_ http.ResponseWriter, r *http.Request) (any, error) {
	return s.backend.Placement(r.Context())
}

func (s *Server) inForce(_ http.ResponseWriter, r *http.Request) (any, error) {
	return s.backend.InForce(r.Context())
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &api.Error{Status: http.StatusRequestEntityTooLarge, Code: api.CodeTooLarge,
			Message: fmt.Sprintf("the body has more than %d bytes", maxBytes)}
	}
	if err != nil {
		return nil, badRequest("the body could not be read to its end")
	}
	return body, nil
}

// readJSON decodes a body of one JSON value and rejects unknown fields. The error message shows
// form, the expected shape of the body.
func readJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, value any, form string) error {
	body, err := readBody(w, r, maxBytes)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil || decoder.More() {
		return badRequest("the body has to be %s", form)
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return &api.Error{
		Status:  http.StatusBadRequest,
		Code:    api.CodeBadRequest,
		Message: fmt.Sprintf(format, args...),
	}
}
