package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/proving/stage"
)

const (
	settleTime   = 15 * time.Second
	measureTime  = 30 * time.Second
	tasksPerVM   = 10
	servicePerVM = 3
	churnPerVM   = 0.12
)

// benchCells measures each role with production timing, first idle and then at the rate churnPerVM of starts.
func benchCells(sizes []int) error {
	fmt.Printf("\neach role, %s a phase; %d services and %d batch tasks for each VM, churn of %.2f starts a second for each VM\n\n",
		measureTime, servicePerVM, tasksPerVM, churnPerVM)
	fmt.Println("| agents | phase | role | core % | MiB | control B/s | store reads/s | store writes/s | document B |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range sizes {
		if err := benchCell(n); err != nil {
			return err
		}
	}
	return nil
}

// productionTiming restores the production values of settings that the scenarios shorten.
var productionTiming = []string{
	"set.agent.heartbeat=5s", "set.agent.reconcile=500ms", "set.agent.task_lease=30s", "set.agent.measure=1s",
	"set.lead.lease=10s", "set.lead.window=200ms", "set.lead.list=10s", "set.lead.commit_bytes=4000",
	"set.entry.list=10s", "set.entry.subscribe=5s", "set.entry.keys=1s", "set.log.level=info",
}

func benchCell(n int) error {
	s, dir, err := newStage()
	if err != nil {
		return err
	}
	defer func() { s.Close(); _ = os.RemoveAll(dir) }()
	args := append([]string{"entries=2", "workers=" + strconv.Itoa(n), "runtime=100000s", "processors=60"}, productionTiming...)
	if _, err := s.Do("cluster", args...); err != nil {
		return err
	}
	if err := applyTable(s, cellTable(n)); err != nil {
		return err
	}
	for i := range servicePerVM {
		if _, err := s.Do("await", "running", "service-"+strconv.Itoa(i), "e1", strconv.Itoa(n)); err != nil {
			return err
		}
	}
	if _, err := s.Do("job", "base", "e1", "standing", strconv.Itoa(n*tasksPerVM), "retry=yes"); err != nil {
		return err
	}
	if _, err := s.Do("await", "placed", "base", "e1", strconv.Itoa(n*tasksPerVM), "within=2m"); err != nil {
		return err
	}
	<-time.After(settleTime)
	measurePhase(s, n, "idle", func() {})
	// The churn's tasks end as soon as they have started.
	for i := range n {
		if _, err := s.Do("fault", "w"+strconv.Itoa(i+1), "set?runtime=300000"); err != nil {
			return err
		}
	}
	measurePhase(s, n, "churn", func() { churn(s, n) })
	return nil
}

func cellTable(n int) string {
	var out strings.Builder
	out.WriteString("workload,kind,team,processors,memory_mb,replicas,target_ms,runtime_s,concurrency,attempts\n")
	for i := range servicePerVM {
		fmt.Fprintf(&out, "service-%d,service,t%d,4,4000,%d,100,,8,\n", i, i, n)
	}
	out.WriteString("standing,batch,t0,2,4000,,,100000,4096,100\nshort,batch,t1,1,1000,,,1,4096,100\n")
	return out.String()
}

// churn submits and cancels jobs so that tasks start and end at the rate churnPerVM.
func churn(s *stage.Stage, n int) {
	perSecond := max(int(churnPerVM*float64(n)+0.5), 1)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	end := time.Now().Add(measureTime)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		name := "churn-" + strconv.Itoa(i)
		if _, err := s.Do("job", name, "e1", "short", strconv.Itoa(perSecond)); err != nil {
			fmt.Fprintf(os.Stderr, "bench: %v\n", err)
			continue
		}
		if i >= 3 {
			_, _ = s.Do("job", "cancel", "churn-"+strconv.Itoa(i-3), "e2")
		}
	}
}

// measurePhase measures all processes during a phase and prints a line for each role.
func measurePhase(s *stage.Stage, n int, phase string, during func()) {
	processes := s.Processes()
	cpu, bytes, calls := cpuTimes(processes), controlByteCounts(s, processes), storeCallCounts(s)
	began := time.Now()
	during()
	<-time.After(time.Until(began.Add(measureTime)))
	seconds := time.Since(began).Seconds()
	cpuAfter, bytesAfter, callsAfter := cpuTimes(processes), controlByteCounts(s, processes), storeCallCounts(s)
	leaders, document := leadersOf(s)
	for _, role := range []string{"entry", "lead", "agent"} {
		var cpuPercent, memory, byteRate float64
		count := 0
		for name, pid := range processes {
			if roleOf(name, leaders) != role {
				continue
			}
			count++
			cpuPercent = max(cpuPercent, (cpuAfter[name]-cpu[name]).Seconds()/seconds*100)
			memory = max(memory, residentMB(pid))
			byteRate = max(byteRate, float64(bytesAfter[name]-bytes[name])/seconds)
		}
		if count == 0 {
			continue
		}
		fmt.Printf("| %d | %s | %s (most of %d) | %.2f | %.1f | %.0f | %.1f | %.1f | %d |\n", n, phase, role, count, cpuPercent, memory,
			byteRate, float64(callsAfter["reads"]-calls["reads"])/seconds, float64(callsAfter["writes"]-calls["writes"])/seconds, document)
	}
}

func roleOf(name string, leaders map[string]bool) string {
	switch {
	case strings.HasPrefix(name, "e"):
		return "entry"
	case leaders[name]:
		return "lead"
	case strings.HasPrefix(name, "a"):
		return "agent"
	default:
		return ""
	}
}

func fetchJSON(url string, value any) {
	status, body, err := fasthttp.GetTimeout(nil, url, 5*time.Second)
	if err == nil && status == fasthttp.StatusOK {
		_ = json.Unmarshal(body, value)
	}
}

func controlByteCounts(s *stage.Stage, processes map[string]int) map[string]int64 {
	counts := make(map[string]int64)
	for name := range processes {
		if roleOf(name, nil) == "" {
			continue
		}
		var metrics map[string]struct {
			Value int64 `json:"value"`
		}
		fetchJSON("http://"+s.Address(name, "admin")+"/metrics", &metrics)
		counts[name] = metrics["control.bytes"].Value
	}
	return counts
}

func storeCallCounts(s *stage.Stage) map[string]int64 {
	calls := make(map[string]int64)
	fetchJSON("http://"+s.Address("store", "listening")+"/control/stats", &calls)
	return calls
}

// leadersOf returns the agents that are leaders, and the size in bytes of the largest document.
func leadersOf(s *stage.Stage) (map[string]bool, int) {
	var region struct {
		Cells []struct {
			Leader string `json:"lead"`
			Bytes  int    `json:"document_bytes"`
		} `json:"cells"`
	}
	fetchJSON("http://"+s.Address("e1", "admin")+"/v1/status", &region)
	leaders := make(map[string]bool)
	largest := 0
	for _, cell := range region.Cells {
		leaders[cell.Leader] = true
		largest = max(largest, cell.Bytes)
	}
	return leaders, largest
}
