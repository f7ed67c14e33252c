package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay forwards connections to a process.
type Relay struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	// target is the address to which new connections are forwarded.
	target string
	// identify returns the source of a connection, its IP address by default.
	identify func(net.Conn) string
	// cut are the sources whose traffic is dropped; dropped are the directions in which all bytes are dropped.
	cut     map[string]bool
	dropped Direction
	delay   time.Duration
	// sources are the open connections with their sources; silenced are those on which all bytes are dropped
	// until they close.
	sources  map[net.Conn]string
	silenced map[net.Conn]bool
	// link is the link that all bytes pass, nil for none.
	link *Link
}

// bufferSize is the number of bytes read at once.
const bufferSize = 32 << 10

// Direction is a direction of bytes through a relay; directions can be combined.
type Direction int

// The directions of bytes.
const (
	// ToTarget is from the clients to the target, FromTarget the reverse.
	ToTarget Direction = 1 << iota
	FromTarget
)

// New returns a relay that listens on an address and forwards connections to a target, which may be set later.
func New(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{address: listener.Addr().String(), listener: listener, target: target, cut: make(map[string]bool), sources: make(map[net.Conn]string), silenced: make(map[net.Conn]bool), identify: ipAddress}
	go r.accept(listener)
	return r, nil
}

// Address returns the address the relay listens on.
func (r *Relay) Address() string { return r.address }

// Close closes the relay's listener; open connections stay open.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.listener.Close()
}

// Refuse resets all connections and refuses new ones, as a machine does whose process has ended.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	r.reset(func(string) bool { return true })
}

// Reopen accepts connections again after Refuse, unless the relay is closed.
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

// SetTarget sets the address to which new connections are forwarded.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetIdentify sets how the sources of connections are named, in place of their IP addresses, and resets all connections.
func (r *Relay) SetIdentify(identify func(net.Conn) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identify = identify
	r.reset(func(string) bool { return true })
}

// ipAddress returns the source IP address of a connection.
func ipAddress(conn net.Conn) string {
	address, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return address
}

// SetCut cuts or restores the traffic of a source; restoring it resets its connections.
func (r *Relay) SetCut(source string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[source] = cut
	if !cut {
		r.reset(func(from string) bool { return from == source })
	}
}

// Drop discards all bytes in the given directions; 0 forwards all again and resets all connections.
func (r *Relay) Drop(directions Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped = directions
	if directions == 0 {
		r.reset(func(string) bool { return true })
	}
}

// SetDelay sets the delay of bytes in each direction.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(func(string) bool { return true })
}

// reset closes the connections of the matching sources, as happens to hung connections after a network recovers; r.mu is
// held.
func (r *Relay) reset(matches func(source string) bool) {
	for conn, source := range r.sources {
		if matches(source) {
			_ = conn.Close()
		}
	}
}

// SilenceOpen drops all bytes on the open connections until they close, without a reset; new connections work.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.sources {
		r.silenced[conn] = true
	}
}

// drops reports whether n bytes of a connection are dropped in a direction, and otherwise their delay.
func (r *Relay) drops(conn net.Conn, source string, direction Direction, n int) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[source] || r.silenced[conn] || r.dropped&direction != 0 {
		return true, 0
	}
	delay := r.delay
	if r.link != nil {
		delay += r.link.reserve(direction, n)
	}
	return false, delay
}

// accept serves each connection until the listener is closed.
func (r *Relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve forwards the bytes of a connection in both directions until either end is closed.
func (r *Relay) serve(conn net.Conn) {
	source, target := r.add(conn)
	defer r.remove(conn)
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	done := make(chan struct{}, 2)
	go func() { r.copy(upstream, conn, stream{conn, source, ToTarget}); done <- struct{}{} }()
	go func() { r.copy(conn, upstream, stream{conn, source, FromTarget}); done <- struct{}{} }()
	<-done
	_ = conn.Close()
	_ = upstream.Close()
	<-done
}

// add registers an open connection and returns its source and target.
func (r *Relay) add(conn net.Conn) (source, target string) {
	r.mu.Lock()
	identify := r.identify
	r.mu.Unlock()
	source = identify(conn)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources[conn] = source
	return source, r.target
}

// remove removes a closed connection.
func (r *Relay) remove(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sources, conn)
	delete(r.silenced, conn)
}

// stream is one direction of a connection.
type stream struct {
	conn      net.Conn
	source    string
	direction Direction
}

// copy forwards bytes after the relay's delay and discards those to be dropped.
func (r *Relay) copy(to io.Writer, from io.Reader, s stream) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		drop, delay := r.drops(s.conn, s.source, s.direction, n)
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
