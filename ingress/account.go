package ingress

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/platform"
)

var unauthenticated = metrics.GetOrCreateCounter(`hickorydrum_unauthenticated_total`)

// authenticate finds the client account of the request by its key, if the configuration has accounts. It
// reports false if it answered the request, for want of a key that is known.
func (x *exchange) authenticate() bool {
	accounts := x.planReq.Table.Accounts()
	if !accounts.Enabled() {
		return true
	}
	a, ok := accounts.Lookup(platform.AccountKey(x.r.Header))
	if !ok {
		if x.planReq.Route.AllowAnonymous {
			return true
		}
		unauthenticated.Inc()
		platform.ChallengeForKey(x.w.Header())
		x.fail(http.StatusUnauthorized, "no-account", "no client account has the key")
		return false
	}
	x.planReq.Account = a
	return true
}

// setAccount sets the name of the client account in the headers of a request to an upstream, in place of the
// key. Without accounts in the configuration the headers stay as the caller sent them.
func (x *exchange) setAccount(header http.Header) {
	if !x.planReq.Table.Accounts().Enabled() {
		return
	}
	name := ""
	if x.planReq.Account != nil {
		name = x.planReq.Account.Name
	}
	platform.SetAccount(header, name)
}
