package fakes

import (
	"bytes"
	"sync"
)

// received retains the received bytes per connection, up to a limit, and searches them for the
// watched strings on arrival, so that a match is still known after its bytes were dropped.
type received struct {
	mu      sync.Mutex
	limit   int
	size    int
	dropped int64
	logs    []*connLog
	watched map[string]*watched
	file    *recordFile
}

// watched is the search state of a watched string.
type watched struct {
	seen bool
	// late is set if bytes had been dropped before the string was watched.
	late bool
}

// connLog holds the bytes received on one connection.
type connLog struct {
	data []byte
	tail []byte // last bytes, to match watched strings that span two reads
	// listed is set while the log is in received.logs.
	listed bool
}

func newReceived(limit int, watch []string, file *recordFile) *received {
	r := &received{limit: limit, watched: map[string]*watched{}, file: file}
	for _, s := range watch {
		r.watched[s] = &watched{}
	}
	return r
}

// add records bytes received on a connection.
func (r *received) add(l *connLog, p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !l.listed {
		l.listed = true
		r.logs = append(r.logs, l)
	}
	l.data = append(l.data, p...)
	r.size += len(p)
	r.search(l, p)
	r.trim()
}

func (r *received) search(l *connLog, p []byte) {
	longest := 0
	window := append(append([]byte(nil), l.tail...), p...)
	for s, w := range r.watched {
		longest = max(longest, len(s))
		if !w.seen && bytes.Contains(window, []byte(s)) {
			w.seen = true
			r.file.write(record{Seen: s})
		}
	}
	keep := min(len(window), max(longest-1, 0))
	l.tail = append([]byte(nil), window[len(window)-keep:]...)
}

// trim drops the bytes of the oldest connections until the size is within the limit.
func (r *received) trim() {
	for r.size > r.limit {
		oldest := r.logs[0]
		n := len(oldest.data)
		if len(r.logs) == 1 {
			n = r.size - r.limit/2
			oldest.data = append([]byte(nil), oldest.data[n:]...)
		} else {
			oldest.data = nil
			oldest.listed = false
			r.logs = r.logs[1:]
		}
		r.size -= n
		r.dropped += int64(n)
	}
}

// watch adds s to the watched strings and searches the retained bytes for it.
func (r *received) watch(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watched[s] == nil {
		r.watched[s] = &watched{seen: r.kept([]byte(s)), late: r.dropped > 0}
	}
}

// contains reports whether s was received: in the retained bytes or, if s is watched, earlier.
func (r *received) contains(s []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.watched[string(s)]; w != nil && w.seen {
		return true
	}
	return r.kept(s)
}

// kept reports whether s is in the retained bytes. The caller holds mu.
func (r *received) kept(s []byte) bool {
	for _, l := range r.logs {
		if bytes.Contains(l.data, s) {
			return true
		}
	}
	return false
}

// complete reports whether contains covers all bytes ever received: no bytes were dropped at all,
// or none before s was watched.
func (r *received) complete(s []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.watched[string(s)]
	return r.dropped == 0 || w != nil && !w.late
}
