package proxy

import (
	"time"

	"egretramp/internal/httpwire"
)

// memoryRetryAfter is when the connections that make the least progress have been closed.
const memoryRetryAfter = 1500 * time.Millisecond

// refuseWithoutMemory answers a request that was not read, because there is no memory for it. It logs nothing: there may be thousands
// of such requests in a second, and the owner of the budget reports them.
func (s *Server) refuseWithoutMemory(w *httpwire.Response) {
	s.opts.Metrics.refused(MemoryFull)
	code, header, body := s.opts.Protocol.WriteRefusal(Refusal{Reason: MemoryFull, RetryAfter: memoryRetryAfter})
	_ = w.Send(code, header, body) // the connection is closed afterwards in any case
}

// prepend puts the stored conversation before the request's body. The body is not kept twice.
func (x *exchange) prepend(chain [][]byte) *Refusal {
	if len(chain) == 0 {
		return nil
	}
	stored := 0
	for _, part := range chain {
		stored += len(part)
	}
	if beyond := int64(stored - ownBytes); beyond > 0 {
		if !x.server.opts.Memory.Take(beyond) {
			return &Refusal{Reason: MemoryFull, Detail: "the stored conversation", RetryAfter: memoryRetryAfter}
		}
		x.chainReserved = beyond
	}
	body := make([]byte, 0, stored+len(x.request.Body))
	for _, part := range chain {
		body = append(body, part...)
	}
	x.body = append(body, x.request.Body...)
	x.request.Body = x.body[stored:]
	return nil
}
