package ratelimit

import (
	"hash/fnv"
	"math"
	"sort"
)

// part is a zone's part of a bucket: one of Count equal parts, or none if Count is 0. The parts with
// the lowest Index get the remainder.
type part struct {
	Count int
	Index int
}

// splitZones returns the zones that hold a part of an account's bucket, by descending zoneScore.
//
// A part smaller than one request would be useless to a zone that is partitioned from the others,
// so a bucket with a burst below the number of zones is split over as many zones as it has requests.
func splitZones(account string, burst float64, zones []string) []string {
	ranked := make([]string, len(zones))
	copy(ranked, zones)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := zoneScore(account, ranked[i]), zoneScore(account, ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked[:zoneCount(burst, len(zones))]
}

// zoneCount returns over how many of the zones a bucket is split.
func zoneCount(burst float64, zones int) int {
	return min(zones, max(1, int(math.Min(burst, float64(zones)))))
}

// largerThan reports whether p is a larger part than q.
func (p part) largerThan(q part) bool {
	switch {
	case p.Count == 0 || p == q:
		return false
	case q.Count == 0:
		return true
	case p.Count == q.Count:
		// The parts differ at most in the remainder, which counts as well.
		return p.Index < q.Index
	}
	return p.Count < q.Count
}

// rateAndBurst returns the part's rate and burst under a limit.
func (p part) rateAndBurst(l Limit) (rate, burst Tokens) {
	return p.amountOf(l.RatePerSecond), p.amountOf(l.Burst)
}

func (p part) amountOf(amount float64) Tokens {
	if p.Count == 0 {
		return 0
	}
	whole := toTokens(amount)
	each := whole / Tokens(p.Count)
	if Tokens(p.Index) < whole%Tokens(p.Count) {
		each++
	}
	return each
}

// toTokens converts requests to tokens; amounts above maxAmount are capped.
func toTokens(requests float64) Tokens {
	return Tokens(math.Min(math.Max(requests, 0), maxAmount) * float64(TokensPerRequest))
}

// maxAmount bounds rates and bursts, in requests, so that sums of tokens cannot overflow.
const maxAmount = 1e9

func zoneScore(account, zone string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(zone))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(account))
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
