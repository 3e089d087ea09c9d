package hosted

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/clock"
	"hickorydrum/event"
	"hickorydrum/interval"
	"hickorydrum/platform"
	"hickorydrum/quota"
	"hickorydrum/route"
)

const (
	// quotasInterval is how often the offers of client accounts are checked for what must be reported.
	quotasInterval = 50 * time.Millisecond
	// maxQuotaLines limits the log lines a second about quotas.
	maxQuotaLines = 10
)

var (
	quotaAccountsOver = metrics.GetOrCreateGauge(`hickorydrum_quota_accounts_over`, nil)
	quotaLinesOmitted = metrics.GetOrCreateCounter(`hickorydrum_quota_lines_omitted_total`)
)

func newQuotaGate(terms quota.Terms, instances func() int, start quota.Start) *quota.Gate {
	return quota.NewGate(terms, instances, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), start)
}

// instances returns how many instances may be running.
func (i *Instance) instances() int {
	_, all := i.mesh.Count("")
	return all
}

func quotaTerms(b *platform.Bounds) quota.Terms {
	return quota.Terms{Window: b.QuotaWindow, Over: b.QuotaOver, Slack: b.QuotaSlack}
}

// applyQuotas puts the quotas of a configuration and the terms of the settings into force.
func (i *Instance) applyQuotas(table *route.Table) {
	terms := quotaTerms(i.bounds.Load())
	i.quotas.SetTerms(terms)
	quotas := make(map[uint64]quota.Quota)
	if table != nil {
		for _, a := range table.Accounts().All() {
			if a.Limited() {
				quotas[a.Hash()] = quota.Quota{Rate: a.Rate, Burst: a.Burst}
			}
		}
	}
	i.mesh.SetQuotas(quotas, terms)
	if i.hasQuotas.Swap(len(quotas) > 0) || len(quotas) == 0 {
		return
	}
	select {
	case i.quotasBegun <- struct{}{}:
	default: // the exchange begins already
	}
}

// exchangeQuotas exchanges the reports about client accounts with the other instances, every quotasInterval until the
// context is done, and logs which accounts are over their quotas. It sleeps while no account has a quota.
func (i *Instance) exchangeQuotas(ctx context.Context) error {
	for i.awaitQuotas(ctx) {
		answers := i.mesh.ExchangeQuotas(i.quotas.Reports(clock.Now()))
		i.receiveQuotas(answers)
		i.logQuotas(ctx, i.quotas.Changes(clock.Now()))
	}
	return nil
}

// awaitQuotas waits until the next exchange is due. It returns false if the context is done.
func (i *Instance) awaitQuotas(ctx context.Context) bool {
	if i.hasQuotas.Load() {
		return interval.Sleep(ctx, quotasInterval)
	}
	select {
	case <-ctx.Done():
		return false
	case <-i.quotasBegun:
		return true
	}
}

// receiveQuotas applies the answers of other instances.
func (i *Instance) receiveQuotas(answers []quota.Answer) { i.quotas.Apply(answers, clock.Now()) }

// logQuotas logs the accounts that went over their quotas, and those that are within them again.
func (i *Instance) logQuotas(ctx context.Context, changes []quota.Change) {
	for n := range changes {
		c := &changes[n]
		e, attrs := event.QuotaReached, []slog.Attr{
			slog.String("account", c.Account), slog.Bool("alone", c.Alone), slog.Float64("offered", c.Offered), slog.Float64("rate", c.Rate),
		}
		if c.Over {
			quotaAccountsOver.Inc()
		} else {
			quotaAccountsOver.Dec()
			e, attrs = event.QuotaKept, []slog.Attr{slog.String("account", c.Account), slog.Int("rejected", c.Rejected)}
		}
		if !i.quotaLines.Allow(time.Now()) {
			quotaLinesOmitted.Inc()
			continue
		}
		e.Log(ctx, i.log, attrs...)
	}
}
