package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// The load of the case pipeline. Its times and sizes are those of the site's sheet: a look-up takes up to 3.12 s, and the
// answer to a price check has up to 30,000 bytes.
const (
	pipeMemoryMb    = 284
	pipeDescriptors = 4100
	pipeCallers     = 1400
	pipeBehind      = 7
	pipeAnswer      = 30000
	pipeSlow        = 3 * time.Second
	pipeQuick       = 20 * time.Millisecond
	pipeAnswers     = 12 * time.Second
	pipeStep        = time.Millisecond
)

const pipeBounds = `stabilityWindowMs = 4000
drainMs = 3000
graceS = 6
configApplyMs = 3000
evacuationMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 222
coldOver = 1.5
coldSlack = 8
ttl_max_s = 5
`

// playPipeline plays callers that send further safe requests before the first one is answered.
func playPipeline(r *record, trouble bool) error {
	d, err := newDeployment(map[string]string{"east-a": "east"}, pipeBounds)
	if err != nil {
		return err
	}
	defer d.close()
	all := &runs{}
	slow := kind{service: "browse", domain: "east-a", slots: 64, queue: 64, work: pipeSlow, body: filled(400)}
	quick := kind{service: "price", domain: "east-a", slots: 64, queue: 64, work: pipeQuick, body: filled(pipeAnswer)}
	if err := d.addWorkers(20, slow, all); err != nil {
		return err
	}
	if err := d.addWorkers(20, quick, all); err != nil {
		return err
	}
	rules := []routeRule{
		{prefix: "/browse/", kind: "safe", service: "browse", objective: 800 * time.Millisecond, timeout: 5 * time.Second, priority: 1},
		{prefix: "/price/", kind: "safe", service: "price", objective: 250 * time.Millisecond, timeout: 5 * time.Second},
	}
	if err := d.put("config/main", configuration(3, rules, nil)); err != nil {
		return err
	}
	i := d.add(machine{name: "front-1", domain: "east-a", region: "east", memoryMb: pipeMemoryMb, descriptors: pipeDescriptors})
	if err := i.start(); err != nil {
		return err
	}
	if err := i.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	r.printf("ready: memory %d MB of %d, %d descriptors of %d", i.memory("VmRSS")>>20, pipeMemoryMb, i.openDescriptors(), pipeDescriptors)
	stop := watchMemory(r, i)
	var statuses sync.Map
	var group errgroup.Group
	for n := range pipeCallers {
		time.Sleep(pipeStep)
		group.Go(func() error {
			sent, answered := callPipeline(i.address(portFront), n, trouble, &statuses)
			r.notef("caller %d: %d requests sent, %d answered", n, sent, answered)
			return nil
		})
	}
	r.printf("%d callers are connected", pipeCallers)
	_ = group.Wait()
	peak, most := stop()
	r.printf("requests that ran: %d", len(all.list()))
	statuses.Range(func(key, value any) bool {
		r.printf("answers %v: %d", key, value.(*atomic.Int64).Load())
		return true
	})
	r.printf("peak of the memory: %d MB of %d MB; most descriptors: %d; lives: %t", peak>>20, pipeMemoryMb, most, i.lives())
	if peak > pipeMemoryMb<<20 || !i.lives() {
		return errBroken
	}
	return nil
}

// watchMemory samples the memory and the descriptors of an instance until the returned function is called, which returns
// the peaks.
func watchMemory(r *record, i *instance) (stop func() (memory, descriptors int)) {
	done, peak, most := make(chan struct{}), 0, 0
	var group errgroup.Group
	group.Go(func() error {
		last := time.Now()
		for {
			peak, most = max(peak, i.memory("VmHWM")), max(most, i.openDescriptors())
			if time.Since(last) > 500*time.Millisecond {
				last = time.Now()
				r.printf("memory %d MB, descriptors %d", i.memory("VmRSS")>>20, i.openDescriptors())
			}
			select {
			case <-done:
				return nil
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return func() (int, int) {
		close(done)
		_ = group.Wait()
		return peak, most
	}
}

// callPipeline sends one look-up and pipeBehind price checks over one connection: all at once, or one after another
// without the trouble. It reads the answers as they come.
func callPipeline(address string, n int, trouble bool, statuses *sync.Map) (sent, answered int) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		count(statuses, "no connection")
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(pipeAnswers))
	in, total := bufio.NewReader(c), 1+pipeBehind
	atOnce := 1
	if trouble {
		atOnce = total
	}
	for sent < total {
		var text strings.Builder
		for k := range atOnce {
			text.WriteString(pipelineRequest(n, sent+k))
		}
		if _, err := c.Write([]byte(text.String())); err != nil {
			count(statuses, "not sent")
			return sent, answered
		}
		sent += atOnce
		for answered < sent {
			if !readAnswer(in, statuses) {
				return sent, answered
			}
			answered++
		}
	}
	return sent, answered
}

// pipelineRequest returns the text of one request: the first one is a look-up, the others are price checks.
func pipelineRequest(n, k int) string {
	path := fmt.Sprintf("/price/%d", k)
	if k == 0 {
		path = "/browse/1"
	}
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nHickorydrum-Attempt-Id: %08x%08x\r\n"+
		"Cookie: Hickorydrum-Affinity-Key=%d\r\nHickorydrum-Deadline-Remaining: 5000\r\n\r\n", path, host, n, k, n*10+k)
}

// readAnswer reads one answer and counts its status.
func readAnswer(in *bufio.Reader, statuses *sync.Map) bool {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		count(statuses, "no answer")
		return false
	}
	n := 0
	buf := make([]byte, 4096)
	for {
		got, err := resp.Body.Read(buf)
		n += got
		if err != nil {
			break
		}
	}
	if resp.ContentLength >= 0 && int64(n) != resp.ContentLength {
		count(statuses, "cut")
		return false
	}
	count(statuses, fmt.Sprint(resp.StatusCode))
	return !resp.Close
}

func count(statuses *sync.Map, name string) {
	value, _ := statuses.LoadOrStore(name, &atomic.Int64{})
	value.(*atomic.Int64).Add(1)
}
