package fleet

import (
	"fmt"
	"net"
	"os"
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
func (a addresses) agent(i int) string { return fmt.Sprintf("%s.%d", a.block, maxEntries+i+1) }

// maxEntries bounds the entries of a fleet, whose IP numbers come before those of the agents.
const maxEntries = 50

// fleets counts the fleets of this process.
var fleets atomic.Int32

// hostPort joins an IP number and a port.
func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

const (
	// firstPort and portCount bound the ports of fleets: below those that the system gives to outgoing connections, which may take any of its own
	// between the choice of a port and its use.
	firstPort = 10000
	portCount = 20000
	// portStride sets processes apart that choose at the same time.
	portStride = 487
)

// chosenPorts counts the ports that this process has chosenPorts, so that no two of its fleets choose the same.
var chosenPorts atomic.Int32

// freePorts returns ports that nothing on the machine listens on.
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
