package quota

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"hickorydrum/account"
)

var (
	epoch     = time.Unix(1_000_000, 0)
	testTerms = Terms{Window: 5 * time.Second, Over: 0.1, Slack: 20}
)

// alone plays a gate whose reports are answered by the holder at the same instance.
type alone struct {
	gate   *Gate
	holder *Holder
	now    time.Time
	silent bool // reports are not answered
}

// newAlone returns an instance that has run for long.
func newAlone(instances int) *alone {
	started := NewStart(epoch.Add(-time.Hour))
	random := rand.New(rand.NewPCG(1, 2))
	a := &alone{gate: NewGate(testTerms, func() int { return instances }, random, started), holder: NewHolder(netip.AddrFrom4([4]byte{10}), random, started), now: epoch}
	a.holder.SetQuotas(nil, testTerms)
	return a
}

// pass lets a time pass, with an exchange of reports.
func (a *alone) pass(d time.Duration) {
	self := netip.AddrFrom4([4]byte{10})
	reports := a.gate.Reports(a.now)
	for i := range reports {
		if a.silent {
			continue
		}
		a.holder.Record(self, &reports[i], a.now)
		if answer, ok := a.holder.Answer(reports[i].Key, self, Scope{Whole: true, Part: 1}, a.now); ok {
			a.gate.Apply([]Answer{answer}, a.now)
		}
	}
	a.now = a.now.Add(d)
}

// admitted returns how many of n requests at the given interval are admitted.
func (a *alone) admitted(one *account.Account, n int, interval time.Duration) int {
	admitted := 0
	for range n {
		if a.gate.Admit(one, a.now).Admitted {
			admitted++
		}
		a.pass(interval)
	}
	return admitted
}

// TestBurst guards against a burst that the quota allows and of which requests are rejected.
func TestBurst(t *testing.T) {
	tests := map[string]account.Account{
		"tiny":  {Name: "a", Rate: 2, Burst: 6},
		"large": {Name: "a", Rate: 300, Burst: 100},
	}
	for name, one := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAlone(91)
			if n := int(one.Burst); a.admitted(&one, n, 0) != n {
				t.Error("not all are admitted")
			}
		})
	}
}

// TestUnlimited guards against accounts without a quota that are limited.
func TestUnlimited(t *testing.T) {
	a := newAlone(1)
	if n := a.admitted(&account.Account{Name: "a"}, 1000, time.Millisecond); n != 1000 {
		t.Errorf("%d of 1000 are admitted", n)
	}
}

// TestReturn guards against requests that were not executed and count nevertheless, both while reports are answered and
// while they are not.
func TestReturn(t *testing.T) {
	for name, silent := range map[string]bool{"answered": false, "not answered": true} {
		t.Run(name, func(t *testing.T) {
			a, one := newAlone(1), &account.Account{Name: "a", Rate: 2, Burst: 2}
			a.silent = silent
			for n := range 500 {
				if !a.gate.Admit(one, a.now).Admitted {
					t.Fatalf("request %d is rejected", n)
				}
				a.gate.Return(one, a.now)
				a.pass(10 * time.Millisecond)
			}
		})
	}
}

// TestUnanswered guards against instances without answers that admit more than an equal part of a quota for long, and
// against one that admits nothing of an account with few requests.
func TestUnanswered(t *testing.T) {
	const instances, seconds = 10, 60
	a, one := newAlone(instances), &account.Account{Name: "a", Rate: 10, Burst: 10}
	a.silent = true
	a.admitted(one, 20, 50*time.Millisecond)
	if n := a.admitted(one, seconds*20, 50*time.Millisecond); n < seconds*9/10 || n > seconds*11/10+3 {
		t.Errorf("%d are admitted in %d s", n, seconds)
	}
	few := &account.Account{Name: "b", Rate: 10, Burst: 10}
	if n := a.admitted(few, seconds, 1200*time.Millisecond); n != seconds {
		t.Errorf("%d of %d are admitted of an account with few requests", n, seconds)
	}
}

// TestRetryAt guards against callers of rejected requests that all return at the same time, or before there is room.
func TestRetryAt(t *testing.T) {
	a, one := newAlone(1), &account.Account{Name: "a", Rate: 10, Burst: 1}
	a.admitted(one, 200, 10*time.Millisecond)
	at := make(map[time.Time]int)
	for range 20 {
		at[a.gate.RetryAt(one, a.now.Add(time.Minute), a.now)]++
	}
	if len(at) < 18 {
		t.Errorf("20 callers return at %d times", len(at))
	}
	last := a.now
	for one := range at {
		if one.After(last) {
			last = one
		}
	}
	if wait := last.Sub(a.now); wait < 1500*time.Millisecond || wait > 3*time.Second {
		t.Errorf("the last of 20 callers returns after %s, at 10 requests a second", wait)
	}
}
