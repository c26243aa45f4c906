package upstream

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"egretramp/internal/config"
	"egretramp/internal/events"
	"egretramp/internal/upstream/wire"

	"go.uber.org/zap"
)

// Bounds on announcements. They come from an untrusted network.
const (
	maxAnnouncementBytes = 64 << 10
	maxServed            = 64
	maxNameBytes         = 128
	maxSlots             = 65_536
	maxKVTokens          = 1 << 40
	// maxClockSkew is how far an announcement's time may be from this VM's, so that a recorded
	// announcement cannot be played back later.
	maxClockSkew = 30 * time.Second
)

// Classes finds the classes of upstreams in the configuration in force.
type Classes interface {
	Class(id string) (*config.UpstreamClass, bool)
	Model(name string) (*config.Model, bool)
	Service(name string) (*config.Service, bool)
}

// Intake serves PathAnnounce: it checks announcements and hands on those that prove themselves.
type Intake struct {
	// Classes returns the configuration in force, or nil before there is one.
	Classes func() Classes
	// Accept takes an announcement whose Serves are canonical IDs.
	Accept func(wire.Announcement)
	// VMs returns upstream listeners of other VMs, for the reply.
	VMs    func() []string
	Events *events.Logger
}

// Codes of refused announcements.
const (
	codeNoConfiguration = "no_configuration"
	codeBadAnnouncement = "bad_announcement"
	codeBadSignature    = "bad_signature"
	codeNotAllowed      = "not_allowed"
)

// ServeHTTP answers one announcement.
func (in *Intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		in.reply(w, http.StatusRequestEntityTooLarge, codeBadAnnouncement)
		return
	}
	classes := in.Classes()
	if classes == nil {
		in.reply(w, http.StatusServiceUnavailable, codeNoConfiguration)
		return
	}
	a, status, code := check(classes, body, r.Header.Get(wire.HeaderSignature), time.Now())
	if code != "" {
		in.Events.Emit(events.AnnouncementRefused, zap.String("code", code), zap.String("remote", r.RemoteAddr))
		in.reply(w, status, code)
		return
	}
	in.Accept(a)
	in.reply(w, http.StatusOK, "")
}

func (in *Intake) reply(w http.ResponseWriter, status int, code string) {
	reply := wire.AnnounceReply{Accepted: code == "", Code: code, VMs: in.VMs()}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

// check verifies an announcement and returns it with canonical names, or a status and code.
// The signature is checked before anything else in the body is believed.
func check(classes Classes, body []byte, signature string, now time.Time) (wire.Announcement, int, string) {
	var a wire.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return a, http.StatusBadRequest, codeBadAnnouncement
	}
	class, ok := classes.Class(a.Class)
	if !ok || !wire.Verify(class.Secret, body, signature) {
		return a, http.StatusForbidden, codeBadSignature
	}
	if !plausible(a, now) {
		return a, http.StatusBadRequest, codeBadAnnouncement
	}
	if a.Kind != class.Kind || !allowedZone(class, a.Zone) {
		return a, http.StatusForbidden, codeNotAllowed
	}
	served, ok := canonical(classes, class, a.Serves)
	if !ok {
		return a, http.StatusForbidden, codeNotAllowed
	}
	a.ServesAs = make(map[string]string, len(served))
	for i, id := range served {
		a.ServesAs[id] = a.Serves[i]
	}
	a.Serves = served
	return a, http.StatusOK, ""
}

func plausible(a wire.Announcement, now time.Time) bool {
	skew := now.Sub(time.UnixMilli(a.SentAtMS)).Abs()
	_, port, err := net.SplitHostPort(a.Address)
	switch {
	case a.Upstream == "" || len(a.Upstream) > maxNameBytes || a.Zone == "" || len(a.Zone) > maxNameBytes:
		return false
	case a.Incarnation <= 0 || skew > maxClockSkew:
		return false
	case err != nil || port == "" || port == "0":
		return false
	case len(a.Serves) > maxServed:
		return false
	case a.Limits.Slots < 0 || a.Limits.Slots > maxSlots || a.Limits.KVTokens < 0 || a.Limits.KVTokens > maxKVTokens:
		return false
	case a.Load.Running < 0 || a.Load.Waiting < 0 || a.Load.KVTokensUsed < 0:
		return false
	}
	return true
}

func allowedZone(class *config.UpstreamClass, zone string) bool {
	return len(class.Zones) == 0 || contains(class.Zones, zone)
}

// canonical turns served names into canonical IDs; false if one is unknown or not of the class.
func canonical(classes Classes, class *config.UpstreamClass, names []string) ([]string, bool) {
	allowed := make([]string, 0, len(class.Serves))
	for _, name := range class.Serves {
		if id, ok := canonicalID(classes, class.Kind, name); ok {
			allowed = append(allowed, id)
		}
	}
	ids := make([]string, 0, len(names))
	for _, name := range names {
		id, ok := canonicalID(classes, class.Kind, name)
		if !ok || len(class.Serves) > 0 && !contains(allowed, id) {
			return nil, false
		}
		ids = append(ids, id)
	}
	return ids, true
}

func canonicalID(classes Classes, kind config.UpstreamKind, name string) (string, bool) {
	if kind == config.KindService {
		s, ok := classes.Service(name)
		if !ok {
			return "", false
		}
		return s.ID, true
	}
	m, ok := classes.Model(name)
	if !ok {
		return "", false
	}
	return m.ID, true
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
