package proxy

// String returns the reason's name in log lines and metrics.
func (r Reason) String() string {
	return [...]string{
		"no_configuration", "no_route", "bad_key", "over_rate", "budget_spent", "unknown_turn", "lost_conversation", "overloaded",
		"store_unavailable", "unknown_stream", "build_gone", "no_upstream", "zones_evacuated", "upstreams_limited", "too_late", "caller_memory", "malformed", "quarantined", "failed", "timed_out",
	}[r]
}

// String returns the outcome's name in log lines and metrics.
func (o outcome) String() string { return [...]string{"answered", "not_sent", "not_run", "lost"}[o] }
