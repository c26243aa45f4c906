package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egretramp/internal/routing"
)

// latencyBuckets are in seconds, from a fast response of a plain service to a route's timeout.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .2, .4, .8, 1.5, 3, 6}

// recordWaitBuckets are in seconds, up to maxRecordWait.
var recordWaitBuckets = []float64{.0005, .002, .005, .01, .02, .05, .1}

// Metrics counts requests and records their latencies. A nil *Metrics does nothing.
type Metrics struct {
	answers     *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	failures    *prometheus.CounterVec
	callersGone prometheus.Counter
	crashes     *prometheus.CounterVec
	firstByte   *prometheus.HistogramVec
	total       *prometheus.HistogramVec
	turnBegin   prometheus.Histogram
	unrecorded  prometheus.Counter
	recordWait  prometheus.Histogram
	placements  *prometheus.CounterVec
	admissions  *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretramp_answers_total", Help: "Answers of upstreams that were passed on, by status."}, []string{"status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretramp_refusals_total", Help: "Requests that this VM answered itself, by reason."}, []string{"reason"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretramp_attempt_failures_total", Help: "Tries at an upstream that brought no answer, by outcome."}, []string{"outcome"}),
		callersGone: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretramp_callers_gone_total", Help: "Requests whose caller closed the connection before the answer was complete."}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretramp_upstream_crashes_total", Help: "Attempts whose upstream crashed, by whether that counts against the request."}, []string{"counted"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "egretramp_first_byte_seconds", Help: "Time from a request's arrival to the first byte of its answer.", Buckets: latencyBuckets}, []string{"kind"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "egretramp_answer_seconds", Help: "Time from a request's arrival to the end of its answer.", Buckets: latencyBuckets}, []string{"kind"}),
		turnBegin: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "egretramp_turn_begin_seconds", Help: "Time to reserve a turn's budget and fetch its conversation.", Buckets: latencyBuckets}),
		unrecorded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretramp_origins_unrecorded_total", Help: "Streams whose origin could not be recorded, so that their callers can't resume them."}),
		recordWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "egretramp_origin_wait_seconds", Help: "Time that the first event of a stream waited for the record of the stream's origin.", Buckets: recordWaitBuckets}),
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretramp_placements_total", Help: "Choices of an upstream, by the load that they were based on (fleet or own) and the zone of the upstream (same or other)."}, []string{"load", "zone"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretramp_admissions_total", Help: "Decisions on new programs, by the load that they were based on (fleet or own) and whether the program may begin."}, []string{"load", "admitted"}),
	}
	r.MustRegister(m.placements, m.admissions, m.answers, m.refusals, m.failures, m.callersGone, m.crashes, m.firstByte, m.total, m.turnBegin, m.unrecorded, m.recordWait)
	return m
}

// kindName returns the value of the label "kind".
func kindName(k routing.Kind) string {
	return [...]string{"idempotent", "non_idempotent", "streaming"}[k]
}

func (m *Metrics) answered(kind routing.Kind, status int, first, total time.Duration) {
	if m == nil {
		return
	}
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	m.firstByte.WithLabelValues(kindName(kind)).Observe(first.Seconds())
	m.total.WithLabelValues(kindName(kind)).Observe(total.Seconds())
}

func (m *Metrics) refused(r Reason) {
	if m != nil {
		m.refusals.WithLabelValues(r.String()).Inc()
	}
}

func (m *Metrics) attemptFailed(o outcome) {
	if m != nil {
		m.failures.WithLabelValues(o.String()).Inc()
	}
}

func (m *Metrics) upstreamCrashed(counted bool) {
	if m != nil {
		m.crashes.WithLabelValues(strconv.FormatBool(counted)).Inc()
	}
}

func (m *Metrics) callerGone() {
	if m != nil {
		m.callersGone.Inc()
	}
}

// loadName returns the value of the label "load".
func loadName(fleet bool) string {
	if fleet {
		return "fleet"
	}
	return "own"
}

func (m *Metrics) placed(fleet, sameZone bool) {
	if m == nil {
		return
	}
	zone := "other"
	if sameZone {
		zone = "same"
	}
	m.placements.WithLabelValues(loadName(fleet), zone).Inc()
}

func (m *Metrics) programDecided(fleet, admitted bool) {
	if m != nil {
		m.admissions.WithLabelValues(loadName(fleet), strconv.FormatBool(admitted)).Inc()
	}
}

func (m *Metrics) turnBegun(took time.Duration) {
	if m != nil {
		m.turnBegin.Observe(took.Seconds())
	}
}

func (m *Metrics) originUnrecorded() {
	if m != nil {
		m.unrecorded.Inc()
	}
}

func (m *Metrics) originAwaited(wait time.Duration) {
	if m != nil {
		m.recordWait.Observe(wait.Seconds())
	}
}
