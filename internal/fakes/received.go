package fakes

import (
	"bytes"
	"sync"
)

// received keeps the bytes that arrived, connection by connection, up to a limit, and
// searches all of them for the watched strings as they arrive, so that a hit is found even
// after its bytes were dropped.
type received struct {
	mu      sync.Mutex
	limit   int
	size    int
	dropped int64
	logs    []*connLog
	watched map[string]*watched
	file    *recordFile
}

// watched is the state of a watched string.
type watched struct {
	seen bool
	// late says that bytes had been dropped before it was watched.
	late bool
}

// connLog holds what one connection brought.
type connLog struct {
	data []byte
	tail []byte // last bytes, for watched strings that span two reads
	// listed says that the log is in received.logs.
	listed bool
}

func newReceived(limit int, watch []string, file *recordFile) *received {
	r := &received{limit: limit, watched: map[string]*watched{}, file: file}
	for _, s := range watch {
		r.watched[s] = &watched{}
	}
	return r
}

// add records bytes that a connection brought.
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

// trim drops the oldest connections' bytes until the limit holds.
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

// watch searches for s from now on; what is still kept is searched at once.
func (r *received) watch(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watched[s] == nil {
		r.watched[s] = &watched{seen: r.kept([]byte(s)), late: r.dropped > 0}
	}
}

// contains reports whether s arrived: among the bytes kept, or earlier if s is watched.
func (r *received) contains(s []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.watched[string(s)]; w != nil && w.seen {
		return true
	}
	return r.kept(s)
}

// kept reports whether s is among the bytes kept. The caller holds mu.
func (r *received) kept(s []byte) bool {
	for _, l := range r.logs {
		if bytes.Contains(l.data, s) {
			return true
		}
	}
	return false
}

// complete reports whether an answer of contains covers all bytes that ever arrived: nothing
// was dropped before s was watched, or at all.
func (r *received) complete(s []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.watched[string(s)]
	return r.dropped == 0 || w != nil && !w.late
}
