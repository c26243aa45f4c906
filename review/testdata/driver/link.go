package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// link is a TCP proxy in front of a replica, which can reset connections.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]net.Conn // the near ends, with the far ends
}

func newLink(listen, target string) (*link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]net.Conn{}}
	go l.serve()
	return l, nil
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(near)
	}
}

func (l *link) pass(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l.mu.Lock()
	l.conns[near] = far
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		_, _ = io.Copy(far, near)
		_ = far.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(near, far)
	_ = near.Close()
	_ = far.Close()
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	l.mu.Unlock()
}

// reset resets a share of the open connections, and returns how many were open and how many were reset.
func (l *link) reset(share float64) (open, reset int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for near, far := range l.conns {
		open++
		if rand.Float64() >= share {
			continue
		}
		reset++
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		_ = far.Close()
	}
	return open, reset
}

func (l *link) close() {
	_ = l.listener.Close()
	l.reset(1)
}
