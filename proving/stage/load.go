package stage

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// load sends requests at a steady rate until it is stopped.
type load struct {
	quit chan struct{}
	done sync.WaitGroup

	mu           sync.Mutex
	sent         int
	results      map[string]int
	slowest      time.Duration
	firstFailure string
}

func (l *load) stop() {
	select {
	case <-l.quit:
	default:
		close(l.quit)
	}
	l.done.Wait()
}

// startLoad sends requests to entries in turn, each with a unique body that the answer has to return.
func (s *Stage) startLoad(name, service string, entries []string, perSecond int, headers map[string]string) error {
	l := &load{quit: make(chan struct{}), results: make(map[string]int)}
	balancer := &balancer{ready: make(map[string]bool)}
	urls := make([]string, 0, len(entries))
	for _, entry := range entries {
		address, err := s.address(entry, "callers")
		if err != nil {
			return err
		}
		url := "http://" + address + "/v1/services/" + service
		urls = append(urls, url)
		l.done.Go(func() { s.watchReady(l, balancer, entry, url) })
	}
	s.loads[name] = l
	l.done.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.quit:
				return
			case <-ticker.C:
				l.done.Go(func() { s.sendRequest(l, balancer.order(urls, n), name+"-"+strconv.Itoa(n), headers) })
			}
		}
	})
	return nil
}

// balancer records which entries report that they are ready, as the platform's load balancer does.
type balancer struct {
	mu    sync.Mutex
	ready map[string]bool
}

// order returns the URLs in turn, the ready ones first.
func (b *balancer) order(urls []string, n int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, rest []string
	for i := range urls {
		url := urls[(n+i)%len(urls)]
		if b.ready[url] {
			ready = append(ready, url)
		} else {
			rest = append(rest, url)
		}
	}
	return append(ready, rest...)
}

const readyInterval = 50 * time.Millisecond

// watchReady polls whether an entry is ready; its address may change when it is restarted.
func (s *Stage) watchReady(l *load, b *balancer, entry, url string) {
	for {
		address, _ := s.address(entry, "admin")
		status, _, _, err := s.post("GET", "http://"+address+"/ready", nil, nil)
		b.mu.Lock()
		b.ready[url] = err == nil && status == 200
		b.mu.Unlock()
		select {
		case <-l.quit:
			return
		case <-time.After(readyInterval):
		}
	}
}

// sendRequest sends a request and, as the load balancer does, tries the next entry if one refuses the connection.
func (s *Stage) sendRequest(l *load, urls []string, body string, headers map[string]string) {
	began := time.Now()
	var result string
	for _, url := range urls {
		status, answer, _, err := s.post("POST", url, []byte(body), headers)
		switch {
		case err != nil && isRefused(err):
			result = "refused connection"
			continue
		case err != nil:
			result = "broken: " + err.Error()
		case status == 200 && string(answer) != body:
			result = "wrong answer"
		case status == 200:
			result = "200"
		default:
			result = errorKind(answer)
		}
		break
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.results[result]++
	if result != "200" && l.firstFailure == "" {
		l.firstFailure = result
	}
	l.slowest = max(l.slowest, time.Since(began))
}

// summary returns the results of the requests as text.
func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("sent %d, results %v, slowest %d ms", l.sent, l.results, l.slowest.Milliseconds())
}
