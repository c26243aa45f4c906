package schedule

import "time"

// estimator estimates call durations: the mean, and the time for each computed prompt token and
// each answer token, by least squares over recent calls. After only a few calls, the estimates
// are still close to the assumed times.
type estimator struct {
	meanSeconds float64 // 0 until the first call has ended
	calls       float64 // number of calls that the mean covers, at most maxCalls
	// meanAnswer is the mean length of answers. Tokens.
	meanAnswer float64
	// Weighted sums over the calls: x is computed prompt tokens, y answer tokens, both in units
	// of their scale, d seconds.
	xx, xy, yy, xd, yd float64
}

const (
	assumedPrefill = 100e-6 // seconds for each computed prompt token
	assumedDecode  = 20e-3  // seconds for each answer token
	prefillScale   = 1000.0 // tokens
	decodeScale    = 100.0  // tokens
	decayFactor    = 0.99   // fraction of a call's weight that remains after the next call
	priorCalls     = 4.0    // weight of the assumed times, in calls of prefillScale and decodeScale tokens
	maxCalls       = 1 / (1 - decayFactor)
)

// observe updates the estimates with a call that ran to completion.
func (e *estimator) observe(took time.Duration, uncached, answer int64) {
	d := took.Seconds()
	e.calls = min(e.calls+1, maxCalls)
	e.meanSeconds += (d - e.meanSeconds) / e.calls
	e.meanAnswer += (float64(answer) - e.meanAnswer) / e.calls
	x, y := float64(uncached)/prefillScale, float64(answer)/decodeScale
	e.xx = e.xx*decayFactor + x*x
	e.xy = e.xy*decayFactor + x*y
	e.yy = e.yy*decayFactor + y*y
	e.xd = e.xd*decayFactor + x*d
	e.yd = e.yd*decayFactor + y*d
}

// prefillPerToken returns the time to compute one prompt token.
func (e *estimator) prefillPerToken() time.Duration {
	// Ridge regression towards the assumed times: the prior counts as priorCalls calls.
	xx, yy := e.xx+priorCalls, e.yy+priorCalls
	xd := e.xd + priorCalls*assumedPrefill*prefillScale
	yd := e.yd + priorCalls*assumedDecode*decodeScale
	perScale := (xd*yy - yd*e.xy) / (xx*yy - e.xy*e.xy)
	return time.Duration(max(perScale, 0) / prefillScale * float64(time.Second))
}

// prefillTime returns the time to compute the given number of prompt tokens.
func (e *estimator) prefillTime(tokens int64) time.Duration {
	return time.Duration(tokens) * e.prefillPerToken()
}

// queueWait returns how long the given number of requests take to be served by the given number
// of slots; 0 if not known.
func (e *estimator) queueWait(ahead int, slots float64) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * e.meanSeconds / slots * float64(time.Second))
}

// fractionOfMean returns a duration as a fraction of the mean call duration, at most 1; 1 if no
// call has ended yet.
func (e *estimator) fractionOfMean(took time.Duration) float64 {
	if e.meanSeconds <= 0 {
		return 1
	}
	return min(took.Seconds()/e.meanSeconds, 1)
}

// expectedAnswer estimates the length of a request's answer. Tokens.
func (e *estimator) expectedAnswer(r *Request) int64 {
	if e.calls == 0 {
		return r.MaxTokens
	}
	return min(r.MaxTokens, int64(e.meanAnswer))
}
