package daemon

import (
	"expvar"
	"time"
)

// publishVars publishes the counters through expvar. expvar names are global to the process, so only the
// first daemon of a process publishes its counters.
func publishVars(d *Daemon) {
	counters := map[string]func() int64{
		"peer_bytes_sent":        d.node.Stats().BytesSent.Load,
		"peer_bytes_received":    d.node.Stats().BytesReceived.Load,
		"peer_messages_sent":     d.node.Stats().MessagesSent.Load,
		"peer_messages_received": d.node.Stats().MessagesReceived.Load,
		"peer_messages_dropped":  d.node.Stats().MessagesDropped.Load,
		"peer_messages_relayed":  d.node.Stats().MessagesRelayed.Load,
		"peer_calls_made":        d.node.Stats().CallsMade.Load,
		"peer_calls_served":      d.node.Stats().CallsServed.Load,
		"gateway_requests":       d.gateway.Stats().Requests.Load,
		"gateway_refused":        d.gateway.Stats().Refused.Load,
		"gateway_retries":        d.gateway.Stats().Retries.Load,
		"suspect_asked":          d.suspects.Stats().Asked.Load,
		"suspect_waited":         d.suspects.Stats().Waited.Load,
		"suspect_strikes":        d.suspects.Stats().Strikes.Load,
		"suspect_quarantined":    d.suspects.Stats().Quarantined.Load,
		"suspect_cut_off":        d.suspects.Stats().CutOff.Load,
		"suspect_beyond":         d.suspects.Stats().Beyond.Load,
		"suspect_polls":          d.suspects.Stats().Polls.Load,
		"gateway_in_flight":      func() int64 { return int64(d.gateway.InFlight()) },
	}
	if d.protection != nil {
		counters["certificate_expires_seconds"] = func() int64 { return int64(time.Until(d.protection.Credentials.Expires()).Seconds()) }
	}
	for name, read := range counters {
		if expvar.Get(name) == nil {
			expvar.Publish(name, expvar.Func(func() any { return read() }))
		}
	}
}
