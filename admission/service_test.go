package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/placement"
)

var start = time.Unix(1000, 0)

var (
	urgent = Request{Priority: 0, Objective: 250 * time.Millisecond, WarmTime: 100 * time.Millisecond, ColdTime: 300 * time.Millisecond}
	bulk   = Request{Priority: 3, Objective: 500 * time.Millisecond, WarmTime: 300 * time.Millisecond, ColdTime: 900 * time.Millisecond}
)

// of returns a request of an account.
func of(account string, rate float64) *Request { return &Request{Account: account, Rate: rate} }

// begin has an account hold n requests in progress.
func begin(s *Service, r *Request, n int) {
	s.Arrive(r, start)
	for range n {
		s.Begin(r, start)
	}
}

// rejectTenth records that a tenth of the requests like r was rejected.
func rejectTenth(s *Service, r *Request) {
	for i := range 20 {
		s.Record(r, i%10 != 0, start)
	}
}

// TestService checks the bounds that follow from the requests that arrived at a service.
func TestService(t *testing.T) {
	usual := placement.DefaultBounds()
	tests := map[string]struct {
		prepare func(s *Service)
		request *Request
		after   time.Duration
		want    placement.Bounds
	}{
		"no request arrived": {func(*Service) {}, &bulk, 0, usual},
		"one priority": {
			func(s *Service) { s.Arrive(&bulk, start) }, &bulk, 0, usual,
		},
		"beside a more urgent one with half the objective": {
			func(s *Service) { s.Arrive(&urgent, start); s.Arrive(&bulk, start); rejectTenth(s, &urgent) }, &bulk, 0, shortened(0.2, placement.ReasonUrgency),
		},
		"beside a more urgent one that is not rejected": {
			func(s *Service) { s.Arrive(&urgent, start); s.Arrive(&bulk, start); s.Record(&urgent, true, start) }, &bulk, 0, usual,
		},
		"the more urgent one": {
			func(s *Service) { s.Arrive(&bulk, start); s.Arrive(&urgent, start) }, &urgent, 0, usual,
		},
		"the more urgent one is gone": {
			func(s *Service) { s.Arrive(&urgent, start); s.Arrive(&bulk, start.Add(presentFor)) }, &bulk, presentFor + time.Second, usual,
		},
		"one account alone": {
			func(s *Service) { begin(s, of("a", 0), 40) }, of("a", 0), 0, usual,
		},
		"two accounts with as much": {
			func(s *Service) { begin(s, of("a", 0), 20); begin(s, of("b", 0), 20) }, of("a", 0), 0, usual,
		},
		"a hot account": {
			func(s *Service) { begin(s, of("a", 0), 29); begin(s, of("b", 0), 5); begin(s, of("c", 0), 5) },
			of("a", 0), 0, shortened((40.0/3+1)/30, placement.ReasonAccount),
		},
		"beside a hot account": {
			func(s *Service) { begin(s, of("a", 0), 29); begin(s, of("b", 0), 5) }, of("b", 0), 0, usual,
		},
		"a new account beside a hot one": {
			func(s *Service) { begin(s, of("a", 0), 29); s.Arrive(of("b", 0), start) }, of("b", 0), 0, usual,
		},
		"an account with the larger quota": {
			func(s *Service) { begin(s, of("a", 50), 25); begin(s, of("b", 10), 5) }, of("a", 50), 0, usual,
		},
		"an account with the smaller quota": {
			func(s *Service) { begin(s, of("a", 50), 14); begin(s, of("b", 10), 15) },
			of("b", 10), 0, shortened(6.0/16, placement.ReasonAccount),
		},
		"few requests at a small instance": {
			func(s *Service) { begin(s, of("a", 0), 1); begin(s, of("b", 0), 1) }, of("a", 0), 0, usual,
		},
		"requests without an account": {
			func(s *Service) { begin(s, of("", 0), 50); begin(s, of("a", 0), 10) }, of("a", 0), 0, usual,
		},
		"a priority that is admitted seldom": {
			func(s *Service) {
				s.Arrive(&urgent, start)
				s.Arrive(&bulk, start)
				for range 20 {
					s.Record(&urgent, true, start)
					s.Record(&bulk, false, start)
				}
			}, &bulk, 0, usual,
		},
		"a priority that is admitted half as often": {
			func(s *Service) {
				s.Arrive(&urgent, start)
				s.Arrive(&bulk, start)
				for i := range 20 {
					s.Record(&urgent, i%10 != 0, start)
					s.Record(&bulk, i%2 == 0, start)
				}
			}, &bulk, 0, shortened(0.2, placement.ReasonUrgency),
		},
		"an account that is admitted seldom": {
			func(s *Service) {
				begin(s, of("a", 0), 20)
				begin(s, of("b", 0), 1)
				for range 20 {
					s.Record(of("b", 0), true, start)
					s.Record(of("a", 0), false, start)
				}
			}, of("a", 0), 0, usual,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewService()
			test.prepare(s)
			if diff := cmp.Diff(test.want, s.Bounds(test.request, start.Add(test.after)), near); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestQueueTimes guards against waits that are computed as if all requests in a queue were as short as
// the one that is to be admitted, and against a change where one priority is present.
func TestQueueTimes(t *testing.T) {
	s := NewService()
	for range 400 {
		s.Arrive(&bulk, start)
		s.Record(&bulk, true, start)
	}
	if warm, cold := s.QueueTimes(); warm != 0 || cold != 0 {
		t.Errorf("one priority: %s, %s", warm, cold)
	}
	s.Arrive(&urgent, start)
	for range 400 {
		s.Record(&urgent, true, start)
		s.Record(&bulk, true, start)
		s.Record(&bulk, false, start)
	}
	warm, cold := s.QueueTimes()
	if warm < 190*time.Millisecond || warm > 210*time.Millisecond || cold < 570*time.Millisecond || cold > 630*time.Millisecond {
		t.Errorf("as many of both: %s, %s", warm, cold)
	}
}

// TestAccountsForgotten guards against counts that stay after the requests ended, and against accounts
// that are kept for ever.
func TestAccountsForgotten(t *testing.T) {
	s := NewService()
	for i := range 1000 {
		begin(s, of(fmt.Sprint(i), float64(i%3)/10), 3)
	}
	for i := range 1000 {
		for range 4 { // one more than began
			s.End(of(fmt.Sprint(i), 0))
		}
	}
	begin(s, of("other", 0), 0)
	s.Arrive(of("other", 0), start.Add(2*presentFor))
	got := []any{len(s.accounts), s.inProgress, s.active, s.limited, s.rates}
	if diff := cmp.Diff([]any{1, 0, 0, 0, 0.0}, got); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkDecision measures all that the admission of one request costs, with 88 accounts and four
// priorities present.
func BenchmarkDecision(b *testing.B) {
	s := NewService()
	var requests []Request
	for i := range 88 {
		r := Request{
			Priority: i % 4, Objective: time.Second, Account: fmt.Sprintf("account-%d", i), Rate: float64(1 + i%5),
			WarmTime: 100 * time.Millisecond, ColdTime: 300 * time.Millisecond,
		}
		begin(s, &r, i%7)
		requests = append(requests, r)
	}
	b.ReportAllocs()
	now, i := start, 0
	for b.Loop() {
		r := &requests[i%len(requests)]
		i++
		now = now.Add(time.Millisecond)
		s.Arrive(r, now)
		_ = s.Bounds(r, now)
		s.Record(r, true, now)
		s.Begin(r, now)
		s.End(r)
	}
}
