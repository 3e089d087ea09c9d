package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/account"
	"hickorydrum/clock"
	"hickorydrum/fault"
	"hickorydrum/platform"
	"hickorydrum/quota"
)

var (
	quotaAdmitted = metrics.GetOrCreateCounter(`hickorydrum_quota_admitted_total`)
	// quotaWaited counts the requests that waited for the first answer about their account after a start.
	quotaWaited   = metrics.GetOrCreateCounter(`hickorydrum_quota_waited_total`)
	quotaReturned = metrics.GetOrCreateCounter(`hickorydrum_quota_returned_total`)
	quotaRejected = metrics.GetOrCreateCounter(`hickorydrum_quota_rejected_total{by="fraction"}`)
	// quotaRejectedAlone counts the rejections by the own part of a quota, while reports are not answered.
	quotaRejectedAlone = metrics.GetOrCreateCounter(`hickorydrum_quota_rejected_total{by="part"}`)
)

// Quotas decides which requests of client accounts are admitted. Its times are by the clock of package clock.
type Quotas interface {
	Admit(a *account.Account, now time.Time) quota.Decision
	// Decide decides on a request that Admit, or an earlier call, left undecided, at last when the context is done.
	Decide(ctx context.Context, a *account.Account, now time.Time) quota.Decision
	// RetryAt returns when there is expected to be room for a request that was not admitted, whose caller waits
	// until the given instant.
	RetryAt(a *account.Account, until, now time.Time) time.Time
	// Return takes back the admission of a request that was not executed.
	Return(a *account.Account, now time.Time)
}

// WithQuotas sets what decides on the quotas of client accounts. Without it they have none.
func WithQuotas(q Quotas) Option { return func(g *Ingress) { g.quotas = q } }

// admit reports whether the quota of the client account has room for the request. If not, it answers the request.
func (x *exchange) admit() bool {
	a := x.planReq.Account
	if a == nil || !a.Limited() || x.ingress.quotas == nil {
		return true
	}
	decision := x.decideQuota(a)
	if decision.Admitted {
		quotaAdmitted.Inc()
		x.admitted = true
		return true
	}
	if decision.Alone {
		quotaRejectedAlone.Inc()
	} else {
		quotaRejected.Inc()
	}
	now, left := clock.Now(), time.Until(x.planReq.Deadline)
	at := x.ingress.quotas.RetryAt(a, now.Add(left), now)
	platform.SetRetryAfter(x.w.Header(), max(minRetryAfter, at.Sub(now)))
	x.fail(http.StatusTooManyRequests, "over-quota", "the client account is over its quota")
	return false
}

// decideQuota decides on the quota of the request. While this instance knows too little, the request waits, for up to half of
// the time that is left to it.
func (x *exchange) decideQuota(a *account.Account) quota.Decision {
	decision := x.ingress.quotas.Admit(a, clock.Now())
	if decision.Answered == nil {
		return decision
	}
	quotaWaited.Inc()
	ctx, cancel := context.WithTimeout(x.r.Context(), time.Until(x.planReq.Deadline)/2)
	defer cancel()
	for decision.Answered != nil {
		select {
		case <-decision.Answered:
		case <-ctx.Done():
		}
		decision = x.ingress.quotas.Decide(ctx, a, clock.Now())
	}
	return decision
}

// noteSend records whether an upstream may have executed the request, by the error of a send.
func (x *exchange) noteSend(err error) {
	if err == nil || fault.From(err).Execution() != fault.NotExecuted {
		x.consumed = true
	}
}

// returnQuota takes back the admission by the quota if no upstream can have executed the request.
func (x *exchange) returnQuota() {
	if x.admitted && !x.consumed {
		x.ingress.quotas.Return(x.planReq.Account, clock.Now())
		quotaReturned.Inc()
	}
}
