package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addresses assigns the addresses of the processes: each has its own loopback IP address, and all use the same ports.
type addresses struct {
	block                                  string
	callers, ready, reports, peers, metric int
	// listen is the port on which entries accept the connections that arrive through the relays at peers.
	listen int
	store  string
	// neighbors are the addresses at which the entries accept reports, joined by commas.
	neighbors string
}

// entry returns the IP address of an entry.
func (a addresses) entry(i int) string { return fmt.Sprintf("%s.%d", a.block, i+1) }

// agent returns the IP address of an agent.
func (a addresses) agent(i int) string { return fmt.Sprintf("%s.%d", a.block, maxEntries+i+1) }

// maxEntries limits the entries of a fleet, whose IP addresses precede those of the agents.
const maxEntries = 50

// fleets counts the fleets of this process.
var fleets atomic.Int32

// hostPort joins an IP address and a port.
func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

const (
	// firstPort and portCount bound the ports of fleets. They are below the ephemeral ports, any of which the system may
	// give to an outgoing connection between the choice of a port and its use.
	firstPort = 10000
	portCount = 20000
	// portStride separates the ports of processes that choose at the same time.
	portStride = 487
)

// chosenPorts counts the ports chosen by this process, so that no two of its fleets choose the same.
var chosenPorts atomic.Int32

// freePorts returns ports on which no process listens.
func freePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	var lastErr error
	for range portCount {
		port := firstPort + (os.Getpid()*portStride+int(chosenPorts.Add(1)))%portCount
		l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", port))
		if err != nil {
			lastErr = err
			continue
		}
		_ = l.Close()
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, lastErr
}
