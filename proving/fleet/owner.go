package fleet

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// agentOf returns the name of the agent that opened a connection, "" if another process did. The processes of a fleet share one source address.
func (f *Fleet) agentOf(conn net.Conn) string {
	socket := socketName(conn.RemoteAddr(), conn.LocalAddr())
	if socket == "" {
		return ""
	}
	for _, p := range f.agents {
		if p.hasOpen(socket) {
			return p.name
		}
	}
	return ""
}

// The columns of /proc/net/tcp that hold a socket's addresses and its inode.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
)

// socketName returns the name under which /proc lists the socket of this machine with these addresses, "" if there is none.
func socketName(local, remote net.Addr) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	localText, remoteText := tableAddress(local), tableAddress(remote)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) > inodeColumn && columns[localColumn] == localText && columns[remoteColumn] == remoteText {
			return "socket:[" + columns[inodeColumn] + "]"
		}
	}
	return ""
}

// tableAddress returns an IPv4 address as /proc/net/tcp has it, "" for another kind of address.
func tableAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// hasOpen reports whether the running program has a file of this name open.
func (p *Process) hasOpen(name string) bool {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	// Both errors are ignored: the program may just have ended or closed the file.
	descriptors, _ := os.ReadDir(dir)
	for _, d := range descriptors {
		if target, _ := os.Readlink(filepath.Join(dir, d.Name())); target == name {
			return true
		}
	}
	return false
}
