package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay stands before the address of a process.
type Relay struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	// target is where new connections lead.
	target string
	// cut are the sources, by IP number, of which nothing passes; muted are the ways on which nothing does.
	cut     map[string]bool
	dropped Direction
	delay   time.Duration
	// sources are the connections that stand, with the IP number of each; silent are those on which nothing passes for good.
	sources  map[net.Conn]string
	silenced map[net.Conn]bool
}

// bufferSize is how many bytes are read at once.
const bufferSize = 32 << 10

// Direction is a way of bytes through a relay; several may be joined.
type Direction int

// The ways of bytes.
const (
	// ToTarget is from those that connect to the process, Back the other way.
	ToTarget Direction = 1 << iota
	FromTarget
)

// New returns a relay that listens on an address and passes on to a target, which may be set later.
func New(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{address: listener.Addr().String(), listener: listener, target: target, cut: make(map[string]bool), sources: make(map[net.Conn]string), silenced: make(map[net.Conn]bool)}
	go r.accept(listener)
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.address }

// Close ends the relay; connections that stand go on.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.listener.Close()
}

// Refuse breaks all connections and refuses new ones, as a machine does on which the process is gone.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	r.reset(func(string) bool { return true })
}

// Reopen takes connections again after Refuse, unless the relay is closed.
func (r *Relay) Reopen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.accept(listener)
	return nil
}

// SetTarget sets where new connections lead.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetCut makes the relay swallow, or pass again, all that comes from an IP number.
func (r *Relay) SetCut(source string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[source] = cut
	if !cut {
		r.reset(func(from string) bool { return from == source })
	}
}

// Drop makes the relay swallow all bytes of some ways, whoever sends them; 0 passes all again.
func (r *Relay) Drop(directions Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped = directions
	if directions == 0 {
		r.reset(func(string) bool { return true })
	}
}

// SetDelay sets how long bytes are held up on each way.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset breaks all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(func(string) bool { return true })
}

// reset breaks the connections of some sources, as a healed network does with what hung; r.mu is held.
func (r *Relay) reset(matches func(source string) bool) {
	for link, source := range r.sources {
		if matches(source) {
			_ = link.Close()
		}
	}
}

// SilenceOpen makes all connections that stand silent for good, without a reset; new ones pass.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.sources {
		r.silenced[link] = true
	}
}

// drops reports whether bytes of a connection from a source are lost on a way, and how long they take else.
func (r *Relay) drops(link net.Conn, source string, direction Direction) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[source] || r.silenced[link] || r.dropped&direction != 0, r.delay
}

// accept serves each connection until the listener is closed.
func (r *Relay) accept(listener net.Listener) {
	for {
		link, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(link)
	}
}

// serve passes the bytes of a connection both ways until either end is closed.
func (r *Relay) serve(link net.Conn) {
	source, _, _ := net.SplitHostPort(link.RemoteAddr().String())
	target := r.add(link, source)
	defer r.remove(link)
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		_ = link.Close()
		return
	}
	done := make(chan struct{}, 2)
	go func() { r.copy(upstream, link, stream{link, source, ToTarget}); done <- struct{}{} }()
	go func() { r.copy(link, upstream, stream{link, source, FromTarget}); done <- struct{}{} }()
	<-done
	_ = link.Close()
	_ = upstream.Close()
	<-done
}

// add counts a connection among those that stand, and returns where it leads.
func (r *Relay) add(link net.Conn, source string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources[link] = source
	return r.target
}

// remove counts a connection as gone.
func (r *Relay) remove(link net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sources, link)
	delete(r.silenced, link)
}

// stream is one way through a relay, of a connection from a source.
type stream struct {
	link      net.Conn
	source    string
	direction Direction
}

// copy passes bytes on, late where the relay is slow; while they are to be lost it swallows them.
func (r *Relay) copy(to io.Writer, from io.Reader, p stream) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		drop, delay := r.drops(p.link, p.source, p.direction)
		if n > 0 && !drop {
			<-time.After(delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
