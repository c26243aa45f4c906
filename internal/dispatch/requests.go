package dispatch

import (
	"encoding/binary"
	"hash/fnv"
)

// digest is the hash that identifies a request in a refresh.
type digest uint64

func digestOf(id string) digest {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return digest(h.Sum64())
}

// digestBytes is the size of a digest in a message.
const digestBytes = 8

// digests is a list of digests in a message, concatenated.
type digests []byte

func (l digests) with(d digest) digests { return binary.BigEndian.AppendUint64(l, uint64(d)) }

// each calls f with each digest.
func (l digests) each(f func(digest)) {
	for ; len(l) >= digestBytes; l = l[digestBytes:] {
		f(digest(binary.BigEndian.Uint64(l)))
	}
}

// requests holds the requests of one pool at its dispatcher.
type requests struct {
	byID     map[string]*request
	byDigest map[digest]*request
}

func newRequests() *requests {
	return &requests{byID: map[string]*request{}, byDigest: map[digest]*request{}}
}

func (r *requests) add(q *request) {
	id := q.enqueue.Request.ID
	r.byID[id] = q
	r.byDigest[digestOf(id)] = q
}

func (r *requests) drop(id string) {
	delete(r.byID, id)
	delete(r.byDigest, digestOf(id))
}
