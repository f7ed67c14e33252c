package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hangupCase stops the entries in turn, two at a time, and the settings files change while the last one serves its last requests. Clients
// ask it for the queue's count over connections that they opened before, which takes until another entry leads.
func hangupCase(f *fleet, trouble bool) (bool, error) {
	const (
		clients  = 4
		deadline = 2000 * time.Millisecond
		// gap is the pause between the stops (gap_s of roll_term). settle is how long after the last of them the requests are sent, when
		// no entry leads any more; hangup is how long after that the settings change.
		gap    = 1300 * time.Millisecond
		settle = 2000 * time.Millisecond
		hangup = 400 * time.Millisecond
		// lossSlack is the rule's bound (loss-slack-ms).
		lossSlack = 200 * time.Millisecond
	)
	if err := f.begin(configuration(2)); err != nil {
		return false, err
	}
	last := f.entries[entryCount-1]
	var connections []net.Conn
	for range clients {
		c, err := net.Dial("tcp4", join(last.ip, f.ports.callers))
		if err != nil {
			return false, err
		}
		defer func() { _ = c.Close() }()
		if status, err := askCount(c, deadline); err != nil || status != http.StatusOK {
			return false, fmt.Errorf("the count was not answered before the stop: %d, %v", status, err)
		}
		connections = append(connections, c)
	}
	for _, e := range f.entries {
		if e == last {
			time.Sleep(gap)
		}
		f.record.line("%s gets SIGTERM", e.name)
		e.signal(syscall.SIGTERM)
	}
	time.Sleep(settle)
	var asking sync.WaitGroup
	var mu sync.Mutex
	lost, answered := 0, 0
	for i, c := range connections {
		asking.Go(func() {
			name := fmt.Sprintf("client %d at %s", i+1, last.name)
			f.record.line("%s: GET %s sent whole, over its open connection", name, prefix)
			sentAt := time.Now()
			status, err := askCount(c, deadline)
			took := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			var timeout net.Error
			switch {
			case err == nil:
				answered++
				f.record.line("%s: %d after %d ms", name, status, took.Milliseconds())
			case errors.As(err, &timeout) && timeout.Timeout():
				f.record.line("%s: no answer within its deadline", name)
			case took > lossSlack:
				lost++
				f.record.line("%s: the connection is closed with no answer after %d ms", name, took.Milliseconds())
			default:
				f.record.line("%s: the connection is closed after %d ms, within the slack", name, took.Milliseconds())
			}
		})
	}
	if trouble {
		time.Sleep(hangup)
		f.record.line("%s gets SIGHUP: its settings file has changed", last.name)
		last.signal(syscall.SIGHUP)
	}
	asking.Wait()
	f.record.line("requests answered: %d, cut without an answer: %d", answered, lost)
	return lost == 0, nil
}

// askCount sends a request for the queue's count over an open connection and returns the status of the answer.
func askCount(c net.Conn, deadline time.Duration) (int, error) {
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Deadline: %d\r\n\r\n", prefix, queueHost, deadline.Milliseconds())
	if _, err := c.Write([]byte(request)); err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(time.Now().Add(deadline)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var body strings.Builder
	_, err = bufio.NewReader(response.Body).WriteTo(&body)
	return response.StatusCode, err
}
