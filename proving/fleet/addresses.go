package fleet

import (
	"fmt"
	"net"
	"sync/atomic"
)

// addresses gives the processes their addresses: one IP number of the loopback each, and the same ports on all.
type addresses struct {
	block                                  string
	callers, ready, reports, peers, metric int
	// listen is where entries listen for what comes through the relays at peers.
	listen int
	store  string
	// neighbors are where the entries take reports, joined by commas.
	neighbors string
}

// entry returns the IP number of an entry.
func (a addresses) entry(i int) string { return fmt.Sprintf("%s.%d", a.block, i+1) }

// agent returns the IP number of an agent.
func (a addresses) agent(i int) string { return fmt.Sprintf("%s.%d", a.block, mostEntries+i+1) }

// mostEntries bounds the entries of a fleet, whose IP numbers come before those of the agents.
const mostEntries = 50

// fleets counts the fleets of this process.
var fleets atomic.Int32

// at joins an IP number and a port.
func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// freePorts returns ports that nothing on the machine listens on.
func freePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range n {
		l, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
