package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/gate"
	"github.com/saffronpulley/saffronpulley/internal/worker"
	"github.com/saffronpulley/saffronpulley/proving/stage"
)

const (
	pathConnections = 64
	pathTime        = 5 * time.Second
	pathInterval    = 100 * time.Millisecond
	pathTable       = `workload,kind,team,processors,memory_mb,replicas,target_ms,concurrency,queue
lookups,service,federacion,4,8000,1,1000,8,56
`
)

// newStage returns a stage without relays that runs the programs in the directory of this one.
func newStage() (*stage.Stage, string, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, "", err
	}
	s := stage.New(filepath.Dir(program), dir)
	s.DisableRelays()
	return s, dir, nil
}

// applyTable replaces the table through an entry.
func applyTable(s *stage.Stage, text string) error {
	url := "http://" + s.Address("e1", "admin") + "/v1/table?base=0&author=bench&write_id=bench"
	status, body, err := post(url, []byte(text))
	if err != nil || status != fasthttp.StatusOK {
		return fmt.Errorf("the table is refused: %d %s %w", status, body, err)
	}
	return nil
}

func post(url string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	err := fasthttp.DoTimeout(request, response, 10*time.Second)
	return response.StatusCode(), append([]byte(nil), response.Body()...), err
}

// benchPath measures the same request sent to the endpoint directly, through agent and entry, and to a bare echo server, in
// one run.
func benchPath() error {
	s, dir, err := newStage()
	if err != nil {
		return err
	}
	defer func() { s.Close(); _ = os.RemoveAll(dir) }()
	if _, err := s.Do("cluster", "entries=1", "workers=1", "service=1ns"); err != nil {
		return err
	}
	if err := applyTable(s, pathTable); err != nil {
		return err
	}
	if _, err := s.Do("await", "running", "lookups", "e1", "1"); err != nil {
		return err
	}
	endpoint, err := endpointOf(s)
	if err != nil {
		return err
	}
	echo, err := echoServer()
	if err != nil {
		return err
	}
	fmt.Printf("\nrequest path, %d connections, %s each, 64-byte bodies\n\n", pathConnections, pathTime)
	fmt.Println("| what | requests/s | p50 us | p99 us | cores of entry | cores of agent |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	through := "http://" + s.Address("e1", "callers") + "/v1/services/lookups"
	for _, interval := range []time.Duration{0, pathInterval} {
		load := "as fast as it goes"
		if interval > 0 {
			load = fmt.Sprintf("one request each %s", interval)
		}
		timePath(s, "bare fasthttp echo, "+load, "http://"+echo+"/", interval)
		timePath(s, "straight to the endpoint, "+load, "http://"+endpoint+"/", interval)
		timePath(s, "through the agent alone, "+load, "http://"+s.Address("a1", "requests")+control.PathRequest, interval)
		timePath(s, "through entry and agent, "+load, through, interval)
	}
	return nil
}

func endpointOf(s *stage.Stage) (string, error) {
	_, body, err := post("http://"+s.Address("w1", "listening")+"/v1/list", []byte("null"))
	if err != nil {
		return "", err
	}
	var statuses []worker.StatusWire
	if err := json.Unmarshal(body, &statuses); err != nil || len(statuses) != 1 {
		return "", fmt.Errorf("the worker runs %d tasks, not one: %w", len(statuses), err)
	}
	return statuses[0].Address, nil
}

func echoServer() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Request.Body()) })
	}()
	return listener.Addr().String(), nil
}

// timePath sends requests over a fixed number of connections, each after the previous answer and at least an interval apart.
func timePath(s *stage.Stage, name, url string, interval time.Duration) {
	client := &fasthttp.Client{MaxConnsPerHost: pathConnections}
	body := make([]byte, 64)
	var mu sync.Mutex
	total := hdrhistogram.New(1, 60_000_000, 3)
	failed := 0
	before := cpuTimes(s.Processes())
	end := time.Now().Add(pathTime)
	var senders sync.WaitGroup
	for i := range pathConnections {
		senders.Go(func() {
			// Paced senders start at staggered times; otherwise they would send in bursts.
			<-time.After(interval * time.Duration(i) / pathConnections)
			latencies, failures := sendUntil(client, url, body, end, interval)
			mu.Lock()
			defer mu.Unlock()
			total.Merge(latencies)
			failed += failures
		})
	}
	senders.Wait()
	after := cpuTimes(s.Processes())
	cores := func(process string) float64 { return (after[process] - before[process]).Seconds() / pathTime.Seconds() }
	fmt.Printf("| %s | %.0f | %d | %d | %.2f | %.2f |\n", name, float64(total.TotalCount())/pathTime.Seconds(),
		total.ValueAtQuantile(50), total.ValueAtQuantile(99), cores("e1"), cores("a1"))
	if failed > 0 {
		fmt.Printf("| %s: %d requests failed | | | | | |\n", name, failed)
	}
}

func sendUntil(client *fasthttp.Client, url string, body []byte, end time.Time, interval time.Duration) (*hdrhistogram.Histogram, int) {
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	failed := 0
	digest := gate.Digest(body)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	for time.Now().Before(end) {
		request.SetRequestURI(url)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.Set("X-Repeatable", "yes")
		request.Header.Set(control.HeaderSecret, stage.Secret)
		request.Header.Set(control.HeaderExchange, "bench")
		request.Header.Set(control.HeaderService, "lookups")
		request.Header.Set(control.HeaderDeadline, "5000")
		request.Header.Set(control.HeaderDigest, digest)
		request.SetBody(body)
		began := time.Now()
		if err := client.DoTimeout(request, response, 5*time.Second); err != nil || response.StatusCode() != fasthttp.StatusOK {
			failed++
			continue
		}
		_ = latencies.RecordValue(max(time.Since(began).Microseconds(), 1))
		if interval > 0 {
			<-time.After(time.Until(began.Add(interval)))
		}
	}
	return latencies, failed
}
