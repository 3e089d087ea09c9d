package gossip

import (
	"fmt"
	"testing"
	"time"
)

// kill ends the processes of some instances, and starts them again after a time that differs a little between them.
func (m *quotaModel) kill(killed func(i int) bool) {
	const down, spread = 500 * time.Millisecond, 300 * time.Millisecond
	startAt := make(map[int]time.Time)
	m.each(func(i int, p *simInstance) {
		if killed(i) {
			p.down = true
			startAt[i] = m.now.Add(down + time.Duration(m.random.Int64N(int64(spread))))
		}
	})
	for len(startAt) > 0 {
		m.run(tickInterval)
		for i, at := range startAt {
			if !m.now.Before(at) {
				delete(startAt, i)
				m.start(i, m.members[i].view.domain)
				m.join(m.members[i])
			}
		}
	}
}

// killed are the instances whose processes are killed at once.
var killed = map[string]func(m *quotaModel) func(i int) bool{
	"all":        func(*quotaModel) func(int) bool { return func(int) bool { return true } },
	"six in ten": func(*quotaModel) func(int) bool { return func(i int) bool { return i%5 < 3 } },
	"the holder": func(m *quotaModel) func(int) bool {
		h := m.holder()
		return func(i int) bool { return m.members[i] == h }
	},
	"one": func(m *quotaModel) func(int) bool {
		h := m.holder()
		other := 0
		m.each(func(i int, p *simInstance) {
			if p != h {
				other = i
			}
		})
		return func(i int) bool { return i == other }
	},
}

// TestQuotaStart guards against instances that start, and admit more of an account than the bound of its quota allows in
// a window that began before, since they know neither each other nor what was admitted. It also guards against an account
// below its quota that is rejected, or a quota that is not used, for long after a start.
func TestQuotaStart(t *testing.T) {
	const (
		before, hot, after = 12 * time.Second, 2500 * time.Millisecond, 24 * time.Second
	)
	spreads := map[string]spread{"all": atAll, "domain": atDomain, "one": atOne}
	for size, n := range quotaSizes {
		for name, a := range quotaAccounts {
			for who, killed := range killed {
				for load, offered := range map[string]float64{"usual": 0.6, "hot": 5} {
					for where, spread := range spreads {
						row := fmt.Sprintf("%s/%s/%s/%s/%s", size, name, who, load, where)
						t.Run(row, func(t *testing.T) {
							t.Parallel()
							skipUnderRace(t)
							if n.instances > 50 && !*quotaAll && (n.instances > 100 || where != "all" || name != "large") {
								t.Skip("needs -quota-all")
							}
							for seed := range uint64(*quotaSeeds) {
								m := newQuotaModel(n.instances, n.domains, a, seed)
								low, high := spread(0.6*a.Rate, n.instances, n.domains), spread(offered*a.Rate, n.instances, n.domains)
								m.demand = func(at time.Duration, i int) float64 {
									if at > before {
										return high(i)
									}
									return low(i)
								}
								m.run(before + hot)
								killedAt := m.elapsed()
								m.kill(killed(m))
								m.run(after)
								m.verifyStart(t, seed, killedAt, load == "usual", who == "one")
							}
						})
					}
				}
			}
		}
	}
}

// verifyStart checks what was admitted since some instances were killed: usual states that the account was below its quota,
// and calm that one instance was killed that does not hold the account.
func (m *quotaModel) verifyStart(t *testing.T, seed uint64, killedAt time.Duration, usual, calm bool) {
	t.Helper()
	const (
		whole     = 4 * time.Second // after the kill, from when on an account below its quota is served as before
		settled   = 8 * time.Second // after the kill, from when on the use counts: a debt is paid back by then
		leastUsed = 0.95
	)
	end, servedFrom := m.elapsed(), killedAt+whole
	if calm {
		servedFrom = killedAt
	}
	rejected, used := between(m.rejected, servedFrom, end), m.used(killedAt+settled, end)
	t.Logf("seed %d: %.3f of the bound, %.3f used, %d of %d rejected", seed, m.most(), used, rejected, between(m.offered, servedFrom, end))
	if m.most() > 1 {
		t.Errorf("seed %d: %.3f of what the bound allows in a window", seed, m.most())
	}
	if used < leastUsed {
		t.Errorf("seed %d: %.3f of the quota is used", seed, used)
	}
	allowed := 0.0
	if !calm {
		allowed = ends + (1-leastUsed)*float64(between(m.offered, servedFrom, end))
	}
	if usual && float64(rejected) > allowed {
		t.Errorf("seed %d: %d requests of an account below its quota were rejected, want at most %.0f", seed, rejected, allowed)
	}
}
