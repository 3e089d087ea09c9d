package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"hickorydrum/fault"
	"hickorydrum/load"
)

const testAddress = "127.0.0.1:1"

// TestWithdrawalOnlyGrows guards against an upstream that gets requests again although it left: a
// health page that is wrong, an older list or the response of an earlier run must not undo what is
// known of a run. Only a new start may.
func TestWithdrawalOnlyGrows(t *testing.T) {
	ready := func(start int64) healthPage { return healthPage{State: "ready", Start: start} }
	draining := func(start int64) healthPage { return healthPage{State: stateDraining, Start: start} }
	answer := func(p *Pool) {
		u, _ := p.view.Upstream(testAddress)
		p.recordLeaving(u)
	}
	tests := map[string]struct {
		do     func(p *Pool)
		usable bool
	}{
		"a page, then one that is wrong": {func(p *Pool) {
			p.setHealth(testAddress, draining(5))
			p.setHealth(testAddress, ready(5))
		}, false},
		"a page, then one of an earlier run": {func(p *Pool) {
			p.setHealth(testAddress, draining(5))
			p.setHealth(testAddress, ready(4))
		}, false},
		"a page, then a new start": {func(p *Pool) {
			p.setHealth(testAddress, draining(5))
			p.setHealth(testAddress, ready(6))
		}, true},
		"a response, then a page that is wrong": {func(p *Pool) {
			p.setHealth(testAddress, ready(5))
			answer(p)
			p.setHealth(testAddress, ready(5))
		}, false},
		"a response before the start is known": {func(p *Pool) {
			answer(p)
			p.setHealth(testAddress, ready(5))
		}, false},
		"a response, then a new start": {func(p *Pool) {
			p.setHealth(testAddress, ready(5))
			answer(p)
			p.setHealth(testAddress, ready(6))
		}, true},
		"a late response of the run before": {func(p *Pool) {
			p.setHealth(testAddress, ready(5))
			old, _ := p.view.Upstream(testAddress)
			p.setHealth(testAddress, ready(6))
			p.recordLeaving(old)
		}, true},
		"a list, then one without it": {func(p *Pool) {
			p.setHealth(testAddress, ready(5))
			p.SetLeaving([]string{testAddress})
			p.SetLeaving(nil)
		}, false},
		"a list, then a new start": {func(p *Pool) {
			p.setHealth(testAddress, ready(5))
			p.SetLeaving([]string{testAddress})
			p.SetLeaving(nil)
			p.setHealth(testAddress, ready(6))
		}, true},
		"a page that names no start, then another": {func(p *Pool) {
			p.setHealth(testAddress, draining(0))
			p.setHealth(testAddress, ready(0))
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := testPool(t, 1)
			test.do(p)
			time.Sleep(2 * time.Millisecond)
			slot, err := p.Acquire(t.Context(), testRequest("c", time.Second))
			if (err == nil) != test.usable {
				t.Fatalf("got %v, want a slot: %t", err, test.usable)
			}
			if err == nil {
				slot.release(time.Now(), load.Answered)
			}
		})
	}
}

// TestUpstreamWithdraws guards against requests to an upstream after one of its responses said that it
// leaves, or named a time until which it wants none, be it the response to the attempt of a hedged
// request that loses.
func TestUpstreamWithdraws(t *testing.T) {
	tests := map[string]struct {
		status int
		header map[string]string
	}{
		"leaving, a success":     {http.StatusOK, map[string]string{HeaderLeaving: "1"}},
		"leaving, a failure":     {http.StatusInternalServerError, map[string]string{HeaderLeaving: "1"}},
		"leaving, a refusal":     {http.StatusServiceUnavailable, map[string]string{HeaderLeaving: "1", HeaderRan: "no"}},
		"leaving, crossed":       {http.StatusOK, map[string]string{HeaderLeaving: "1", HeaderRequestID: "another"}},
		"a pause":                {http.StatusServiceUnavailable, map[string]string{HeaderRan: "no", "Retry-After": "30"}},
		"a pause, may have run":  {http.StatusServiceUnavailable, map[string]string{"Retry-After": "30"}},
		"a pause with fractions": {http.StatusTooManyRequests, map[string]string{HeaderRan: "no", "Retry-After": "29.5"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int32
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
				for name, value := range test.header {
					w.Header().Set(name, value)
				}
				w.WriteHeader(test.status)
			}))
			defer backend.Close()
			p := newTestPool(t, map[string]int{backend.Listener.Addr().String(): 2})
			defer p.Close()
			for i := range 5 {
				req := testRequest("c", time.Second)
				req.ID, req.Method = "id", http.MethodPost
				begun := time.Now()
				_, err := serve(p, req, http.NoBody)
				if i > 0 && (!fault.IsNotExecuted(err) || time.Since(begun) > 200*time.Millisecond) {
					t.Errorf("got %v after %s, want a refusal at once", err, time.Since(begun))
				}
				if pause := test.header["Retry-After"]; i > 0 && pause != "" {
					if left := time.Until(fault.From(err).RetryAt()); left < 29*time.Second {
						t.Errorf("the caller is to return after %s, the upstream wants nothing for %s s", left, pause)
					}
				}
			}
			if got := arrivals.Load(); got != 1 {
				t.Errorf("%d requests reached the upstream, want 1", got)
			}
		})
	}
}

// TestLosingAttemptLeaves guards against the loss of what the losing attempt of a hedged request says.
func TestLosingAttemptLeaves(t *testing.T) {
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderLeaving, "1")
		time.Sleep(hedgeDelay + 50*time.Millisecond)
		_, _ = io.WriteString(w, "slow")
	}))
	defer slow.Close()
	p := newTestPool(t, map[string]int{slow.Listener.Addr().String(): 4})
	defer p.Close()
	req := testRequest("c", 5*time.Second)
	req.ID, req.Method, req.Idempotent = "id", http.MethodGet, true
	if _, err := serve(p, req, http.NoBody); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Acquire(context.Background(), testRequest("c", time.Second)); err == nil {
		t.Error("a request may be sent to an upstream that said that it leaves")
	}
}
