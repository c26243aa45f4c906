package upstream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/config"
	"egretramp/internal/events"
	"egretramp/internal/upstream/wire"
)

const (
	engineSecret  = "engines-secret-0123"
	serviceSecret = "services-secret-012"
)

type handlerTest struct {
	*AnnounceHandler
	accepted []wire.Announcement
	now      time.Duration
}

func newHandlerTest() *handlerTest {
	snapshot := config.Compile(&config.File{
		Models: []config.Model{
			{Named: config.Named{ID: "m1", Names: map[string]string{"ledger": "M/1"}}},
			{Named: config.Named{ID: "m2"}},
		},
		Services: []config.Service{{Named: config.Named{ID: "s1"}}},
		Upstreams: []config.UpstreamClass{
			{ID: "engines", Kind: config.KindEngine, Secret: engineSecret, Serves: []string{"m1"}, Zones: []string{"z1"}},
			{ID: "services", Kind: config.KindService, Secret: serviceSecret},
		},
	})
	h := &handlerTest{}
	h.AnnounceHandler = &AnnounceHandler{
		Classes: func() Classes { return snapshot },
		Accept:  func(a wire.Announcement) bool { h.accepted = append(h.accepted, a); return true },
		VMs:     func() []string { return nil },
		Events:  events.FromZap(zap.NewNop()),
		Clock:   func() time.Duration { return h.now },
	}
	return h
}

func (h *handlerTest) post(remote, secret string, body []byte) (int, string) {
	r := httptest.NewRequest(http.MethodPost, wire.PathAnnounce, bytes.NewReader(body))
	r.RemoteAddr = remote + ":1000"
	r.Header.Set(wire.HeaderSignature, wire.Sign(secret, body))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var reply wire.AnnounceReply
	_ = json.Unmarshal(w.Body.Bytes(), &reply)
	return w.Code, reply.Code
}

func validAnnouncement() wire.Announcement {
	return wire.Announcement{
		Upstream: "e1", Class: "engines", Incarnation: time.Now().UnixNano(), Sequence: 1, SentAtMS: time.Now().UnixMilli(),
		Zone: "z1", Kind: config.KindEngine, Address: "10.0.0.1:80", Serves: []string{"M/1"},
		Limits: wire.Limits{Slots: 8, KVTokens: 1000},
	}
}

func encode(t *testing.T, a wire.Announcement) []byte {
	body, err := json.Marshal(a)
	require.NoError(t, err)
	return body
}

func TestAnnounceHandler_RejectsInvalidAnnouncements(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*wire.Announcement)
		secret string
		code   string
	}{
		"valid":                     {change: func(*wire.Announcement) {}},
		"secret of another class":   {change: func(*wire.Announcement) {}, secret: serviceSecret, code: codeBadSignature},
		"unknown class":             {change: func(a *wire.Announcement) { a.Class = "nope" }, secret: "", code: codeBadSignature},
		"sent too long ago":         {change: func(a *wire.Announcement) { a.SentAtMS -= 31_000 }, code: codeBadAnnouncement},
		"sent in the future":        {change: func(a *wire.Announcement) { a.SentAtMS += 31_000 }, code: codeBadAnnouncement},
		"send time out of range":    {change: func(a *wire.Announcement) { a.SentAtMS = 1 << 62 }, code: codeBadAnnouncement},
		"incarnation too far ahead": {change: func(a *wire.Announcement) { a.Incarnation = 1 << 62 }, code: codeBadAnnouncement},
		"no incarnation":            {change: func(a *wire.Announcement) { a.Incarnation = 0 }, code: codeBadAnnouncement},
		"host name":                 {change: func(a *wire.Announcement) { a.Address = "localhost:80" }, code: codeBadAnnouncement},
		"no port":                   {change: func(a *wire.Announcement) { a.Address = "10.0.0.1" }, code: codeBadAnnouncement},
		"port 0":                    {change: func(a *wire.Announcement) { a.Address = "10.0.0.1:0" }, code: codeBadAnnouncement},
		"unspecified address":       {change: func(a *wire.Announcement) { a.Address = "0.0.0.0:80" }, code: codeBadAnnouncement},
		"multicast":                 {change: func(a *wire.Announcement) { a.Address = "224.0.0.1:80" }, code: codeBadAnnouncement},
		"address with path":         {change: func(a *wire.Announcement) { a.Address = "10.0.0.1:80/x" }, code: codeBadAnnouncement},
		"slash in name":             {change: func(a *wire.Announcement) { a.Upstream = "a/b" }, code: codeBadAnnouncement},
		"line break in name":        {change: func(a *wire.Announcement) { a.Upstream = "a\nb" }, code: codeBadAnnouncement},
		"long name":                 {change: func(a *wire.Announcement) { a.Upstream = strings.Repeat("a", 129) }, code: codeBadAnnouncement},
		"slash in zone":             {change: func(a *wire.Announcement) { a.Zone = "z1/x" }, code: codeBadAnnouncement},
		"slots out of range":        {change: func(a *wire.Announcement) { a.Limits.Slots = 1 << 30 }, code: codeBadAnnouncement},
		"negative slots":            {change: func(a *wire.Announcement) { a.Limits.Slots = -1 }, code: codeBadAnnouncement},
		"KV tokens out of range":    {change: func(a *wire.Announcement) { a.Limits.KVTokens = 1 << 50 }, code: codeBadAnnouncement},
		"load out of range":         {change: func(a *wire.Announcement) { a.Load.Running = 1 << 40 }, code: codeBadAnnouncement},
		"negative load":             {change: func(a *wire.Announcement) { a.Load.Waiting = -1 }, code: codeBadAnnouncement},
		"too many served":           {change: func(a *wire.Announcement) { a.Serves = make([]string, 65) }, code: codeBadAnnouncement},
		"wrong kind":                {change: func(a *wire.Announcement) { a.Kind = config.KindService }, code: codeNotAllowed},
		"wrong zone":                {change: func(a *wire.Announcement) { a.Zone = "z2" }, code: codeNotAllowed},
		"unknown model":             {change: func(a *wire.Announcement) { a.Serves = []string{"m9"} }, code: codeNotAllowed},
		"model of another class":    {change: func(a *wire.Announcement) { a.Serves = []string{"m2"} }, code: codeNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandlerTest()
			a := validAnnouncement()
			c.change(&a)
			secret := c.secret
			if secret == "" {
				secret = engineSecret
			}
			_, code := h.post("10.0.0.9", secret, encode(t, a))
			require.Equal(t, c.code, code)
			require.Equal(t, c.code == "", len(h.accepted) == 1, "only a valid announcement is accepted")
		})
	}
}

func TestAnnounceHandler_RejectsMalformedBodies(t *testing.T) {
	h := newHandlerTest()
	for _, body := range []string{"", "{", "[]", `{"upstream":1}`, strings.Repeat(" ", maxAnnouncementBytes+1)} {
		_, code := h.post("10.0.0.9", engineSecret, []byte(body))
		require.NotEmpty(t, code, "%.20q", body)
	}
	require.Empty(t, h.accepted)
	h.Accept = func(wire.Announcement) bool { return false }
	_, code := h.post("10.0.0.9", engineSecret, encode(t, validAnnouncement()))
	require.Equal(t, codeNoDispatcher, code)
}

func TestAnnounceHandler_CanonicalizesAndDeduplicatesNames(t *testing.T) {
	h := newHandlerTest()
	a := validAnnouncement()
	a.Serves = []string{"M/1", "m1"}
	a.ServesAs = map[string]string{"m1": "something-else"}
	_, code := h.post("10.0.0.9", engineSecret, encode(t, a))
	require.Empty(t, code)
	require.Equal(t, []string{"m1"}, h.accepted[0].Serves)
	require.Equal(t, map[string]string{"m1": "M/1"}, h.accepted[0].ServesAs)
}

// TestAnnounceHandler_FloodDoesNotStarveOtherUpstreams sends floods from one upstream, one class and
// one sender at the same time; an upstream of another class at another address is still accepted.
func TestAnnounceHandler_FloodDoesNotStarveOtherUpstreams(t *testing.T) {
	h := newHandlerTest()
	body := encode(t, validAnnouncement())
	for range 100 {
		h.post("10.0.0.1", engineSecret, body)
	}
	require.LessOrEqual(t, len(h.accepted), int(perUpstreamRate), "limit of one upstream")

	for i := range 2 * maxNamesPerTable { // made-up names of one class
		a := validAnnouncement()
		a.Upstream = fmt.Sprintf("made-up-%d", i)
		h.post(fmt.Sprintf("10.1.%d.%d", i/200, i%200), engineSecret, encode(t, a))
	}
	require.LessOrEqual(t, len(h.accepted), int(perUpstreamRate+perClassRate), "limit of one class")

	accepted := len(h.accepted)
	for range 2000 { // invalid signatures from one address
		h.post("10.0.0.3", "not-the-secret", body)
	}
	require.Len(t, h.accepted, accepted)
	status, _ := h.post("10.0.0.3", engineSecret, body)
	require.Equal(t, http.StatusTooManyRequests, status)

	healthy := validAnnouncement()
	healthy.Upstream, healthy.Class, healthy.Kind, healthy.Serves = "s1", "services", config.KindService, []string{"s1"}
	_, code := h.post("10.0.0.4", serviceSecret, encode(t, healthy))
	require.Empty(t, code)

	h.now += bucketIdleTimeout + time.Second
	_, code = h.post("10.0.0.1", engineSecret, body)
	require.Empty(t, code, "accepted again after the flood")
}
