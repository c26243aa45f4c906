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
	watched map[string]bool // string -> seen
	file    *recordFile
}

// connLog holds what one connection brought.
type connLog struct {
	data []byte
	tail []byte // last bytes, for watched strings that span two reads
	// listed says that the log is in received.logs.
	listed bool
}

func newReceived(limit int, watch []string, file *recordFile) *received {
	r := &received{limit: limit, watched: map[string]bool{}, file: file}
	for _, s := range watch {
		r.watched[s] = false
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
	for s, seen := range r.watched {
		longest = max(longest, len(s))
		if !seen && bytes.Contains(window, []byte(s)) {
			r.watched[s] = true
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
	found := r.contains([]byte(s))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched[s] = r.watched[s] || found
}

// contains reports whether s arrived: among the bytes kept, or earlier if s is watched.
func (r *received) contains(s []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watched[string(s)] {
		return true
	}
	for _, l := range r.logs {
		if bytes.Contains(l.data, s) {
			return true
		}
	}
	return false
}

// complete reports whether an answer of contains covers all bytes that ever arrived: nothing
// was dropped, or s was watched from the start.
func (r *received) complete(s []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, watched := r.watched[string(s)]
	return r.dropped == 0 || watched
}
