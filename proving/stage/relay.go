package stage

import (
	"io"
	"net"
	"sync"
)

// Relay stands before the address of a process, so that a connection from another can be cut.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   map[string]bool
	links map[net.Conn]string
}

func newRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, cut: make(map[string]bool), links: make(map[net.Conn]string)}
	go r.accept()
	return r, nil
}

func (r *Relay) address() string { return r.listener.Addr().String() }

func (r *Relay) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// setCut makes the relay swallow, or pass again, all that comes from an IP number.
func (r *Relay) setCut(source string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[source] = cut
	for link, from := range r.links {
		if from == source && !cut {
			// A healed network resets what hung.
			_ = link.Close()
		}
	}
}

func (r *Relay) isCut(source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[source]
}

func (r *Relay) accept() {
	for {
		link, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(link)
	}
}

func (r *Relay) serve(link net.Conn) {
	source, _, _ := net.SplitHostPort(link.RemoteAddr().String())
	r.mu.Lock()
	target := r.target
	r.links[link] = source
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.links, link)
		r.mu.Unlock()
	}()
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = link.Close()
		return
	}
	done := make(chan struct{}, 2)
	go func() { r.copy(far, link, source); done <- struct{}{} }()
	go func() { r.copy(link, far, source); done <- struct{}{} }()
	<-done
	_ = link.Close()
	_ = far.Close()
	<-done
}

// copy passes bytes on; while the source is cut it swallows them.
func (r *Relay) copy(to io.Writer, from io.Reader, source string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isCut(source) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
