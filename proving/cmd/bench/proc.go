package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// cpuTimes returns the processor time used by each process.
func cpuTimes(processes map[string]int) map[string]time.Duration {
	times := make(map[string]time.Duration, len(processes))
	for name, pid := range processes {
		content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		times[name] = time.Duration(user+system) * time.Second / ticksPerSecond
	}
	return times
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kilobytes) / 1024
		}
	}
	return 0
}
