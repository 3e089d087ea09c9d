package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The figures of the case. Those of requests and answers are of the class order-place of the site kaedehjul-lb-grown.
const (
	slowClients = 24
	slowAnswer  = 30000
	slowBudget  = 6000 * time.Millisecond
	slowPace    = 5200 // bytes a second that a client reads
	slowReads   = 10   // in a second
	slowWindow  = 2 << 10
	slowSegment = 1460
	slowAllowed = 3 // requests that the rule allows to be lost
	slowCalm    = 2 * time.Second
)

// order is an order that was sent on a kept connection, and how it ended.
type order struct {
	attempt, machine string
	got              int
	whole            bool
	took             time.Duration
	err              error
}

// playSlow lets clients place orders on kept connections. They read the answers slowly, without a pause, and would have each
// whole before their time budget ends.
func playSlow(g *rig, trouble bool) (bool, error) {
	rules := []rule{{"/a/", "dele69a", "safe", 2000}, {"/b/", "xano55b", "unsafe", 2500}}
	g.store.put("config", "main", configuration("r5", rules, []string{"dele69a", "xano55b"}))
	zonesUsed := []string{"catania-porto", "palermo-kalsa", "ragusa-ibla"}
	for i, zone := range zonesUsed {
		for _, service := range []string{"dele69a", "xano55b"} {
			w, err := g.addWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, zone)
			if err != nil {
				return false, err
			}
			if service == "xano55b" {
				w.bytes = slowAnswer
			}
		}
	}
	if err := g.startMachines(zonesUsed); err != nil {
		return false, err
	}
	g.sleep(slowCalm)
	var mu sync.Mutex
	var orders []order
	var clients sync.WaitGroup
	for i := range slowClients {
		m := g.machines[i%len(g.machines)]
		clients.Go(func() {
			one, err := g.placeOrder(m, trouble)
			if err != nil {
				g.note("a client could not place its order: %v", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			orders = append(orders, one)
		})
	}
	clients.Wait()
	g.sleep(slowCalm)
	if len(orders) < slowClients {
		return false, fmt.Errorf("%d of %d orders were placed", len(orders), slowClients)
	}
	ran := make(map[string]string)
	for _, r := range g.runs.copyOf() {
		ran[r.attempt] = r.worker
	}
	lost := 0
	for _, o := range orders {
		end := "whole"
		if !o.whole {
			end = fmt.Sprintf("not whole: %v", o.err)
		}
		g.note("order %s at %s, run by %s: %d bytes in %.2f s, %s", o.attempt, o.machine, ran[o.attempt], o.got, o.took.Seconds(), end)
		if ran[o.attempt] != "" && !o.whole && o.took < slowBudget {
			lost++
		}
	}
	g.note("LOST: of %d orders on kept connections that sound workers ran, %d have no whole answer, since the machine closed the connection before the time budget ended",
		len(orders), lost)
	return lost > slowAllowed, nil
}

// placeOrder sends a small safe request and, on the same connection, an order, whose answer it reads slowly or at once.
func (g *rig) placeOrder(m *machine, slowly bool) (order, error) {
	o := order{attempt: nextAttempt(), machine: m.name}
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegment)
			if failure == nil {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindow)
			}
		})
		if err != nil {
			return err
		}
		return failure
	}}
	conn, err := dialer.DialContext(g.ctx, "tcp", net.JoinHostPort(m.ip, strconv.Itoa(m.ports.front)))
	if err != nil {
		return o, err
	}
	defer conn.Close()
	defer context.AfterFunc(g.ctx, func() { _ = conn.Close() })()
	paced := &pacedReader{conn: conn}
	reader := bufio.NewReaderSize(paced, slowPace/slowReads)
	if _, err := io.WriteString(conn, requestText("GET", "/a/1", nextAttempt(), "")); err != nil {
		return o, err
	}
	if whole, _, err := readAnswer(reader); err != nil || !whole {
		return o, fmt.Errorf("the first request was not answered: %w", err)
	}
	begun := time.Now()
	if _, err := io.WriteString(conn, requestText("POST", "/b/1", o.attempt, "order")); err != nil {
		return o, err
	}
	paced.slowly = slowly
	o.whole, o.got, o.err = readAnswer(reader)
	o.took = time.Since(begun)
	return o, nil
}

// requestText returns a request as it is sent.
func requestText(method, path, attempt, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nHickorydrum-Attempt-Id: %s\r\nHickorydrum-Deadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, attempt, slowBudget.Milliseconds(), len(body), body)
}

// readAnswer reads an answer. It returns how many bytes of its body were read, and whether that is all of it.
func readAnswer(r *bufio.Reader) (whole bool, got int, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK, int(n), err
}

// pacedReader reads from a connection, at slowPace if slowly is set.
type pacedReader struct {
	conn   net.Conn
	slowly bool
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if !p.slowly {
		return p.conn.Read(b)
	}
	n, err := io.ReadAtLeast(p.conn, b[:min(len(b), slowPace/slowReads)], 1)
	time.Sleep(time.Second * time.Duration(n) / slowPace)
	return n, err
}
