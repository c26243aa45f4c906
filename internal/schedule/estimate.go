package schedule

import "time"

// estimator learns how long calls take: the mean, and what a computed token of a prompt and a
// token of an answer add, by least squares over the recent calls. Few calls leave it near the
// assumed times.
type estimator struct {
	meanSeconds float64 // seconds; 0 until the first call ended
	calls       float64 // weight of the calls behind mean
	// meanAnswer is the mean length of answers. Tokens.
	meanAnswer float64
	// Weighted sums over the calls: x is computed prompt tokens, y answer tokens, both in units
	// of their scale, d seconds.
	xx, xy, yy, xd, yd float64
}

const (
	assumedPrefill = 100e-6 // seconds for each computed token of a prompt
	assumedDecode  = 20e-3  // seconds for each token of an answer
	prefillScale   = 1000.0 // tokens
	decodeScale    = 100.0  // tokens
	decayFactor    = 0.99   // what remains of a call's weight after the next one
	priorCalls     = 4.0    // weight of the assumed times, in calls of one scale
	maxCalls       = 1 / (1 - decayFactor)
)

// observe takes a call that ran to its end.
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

// prefillPerToken returns the time to compute a token of a prompt.
func (e *estimator) prefillPerToken() time.Duration {
	// Ridge regression towards the assumed times: the prior counts as priorCalls calls.
	xx, yy := e.xx+priorCalls, e.yy+priorCalls
	xd := e.xd + priorCalls*assumedPrefill*prefillScale
	yd := e.yd + priorCalls*assumedDecode*decodeScale
	perScale := (xd*yy - yd*e.xy) / (xx*yy - e.xy*e.xy)
	return time.Duration(max(perScale, 0) / prefillScale * float64(time.Second))
}

// prefillTime returns the time to prefillTime the tokens of a prompt.
func (e *estimator) prefillTime(tokens int64) time.Duration {
	return time.Duration(tokens) * e.prefillPerToken()
}

// queueWait returns how long requests ahead take to leave through so many slots; 0 if not known.
func (e *estimator) queueWait(ahead int, slots float64) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * e.meanSeconds / slots * float64(time.Second))
}

// fractionOfMean returns what fractionOfMean of a usual call a time is, at most 1; 1 if no call has ended yet.
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
