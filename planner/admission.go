package planner

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/admission"
	"hickorydrum/load"
	"hickorydrum/placement"
)

// admissions holds the state of the admission by service. Its methods lock mu.
type admissions struct {
	mu       *sync.Mutex
	services map[string]*admission.Service
}

func newAdmissions() admissions {
	return admissions{mu: new(sync.Mutex), services: make(map[string]*admission.Service)}
}

// service returns the state of a service. mu must be held.
func (a *admissions) service(name string) *admission.Service {
	s, ok := a.services[name]
	if !ok {
		s = admission.NewService()
		a.services[name] = s
	}
	return s
}

// admissionRequest returns what admission must know of the request.
func (r *Request) admissionRequest() admission.Request {
	out := admission.Request{Priority: r.Priority(), Objective: r.Route.Objective}
	if r.Account != nil {
		out.Account, out.Rate = r.Account.Name, r.Account.Rate
	}
	return out
}

func (a *admissions) arrive(req *Request, now time.Time) {
	r := req.admissionRequest()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(req.Service).Arrive(&r, now)
}

func (a *admissions) begin(req *Request, now time.Time) {
	r := req.admissionRequest()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(req.Service).Begin(&r, now)
}

func (a *admissions) end(req *Request) {
	r := req.admissionRequest()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(req.Service).End(&r)
}

// apply sets the bounds of the wait in a request to placement, and the service times of the requests
// in the queues.
func (a *admissions) apply(req *Request, to *placement.Request, now time.Time) {
	r := req.admissionRequest()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.service(req.Service)
	to.Bounds = s.Bounds(&r, now)
	to.QueueWarmTime, to.QueueColdTime = s.QueueTimes()
}

// record counts the decision on a request. Reasons that say nothing of the room at the service are not
// counted, nor is a request that was sent before.
func (a *admissions) record(req *Request, reason placement.Reason, tracker *load.Tracker, now time.Time) {
	rejections, rejected := admissionRejections[reason]
	if rejected {
		rejections.Inc()
	}
	switch reason {
	case placement.ReasonNone, placement.ReasonNoTime, placement.ReasonLimited, placement.ReasonPaused:
		return
	}
	if len(req.Tried) > 0 {
		return
	}
	r := req.admissionRequest()
	r.WarmTime, r.ColdTime = tracker.ServiceTimes(req.Service, req.Route.Class())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(req.Service).Record(&r, !rejected, now)
}

// admissionRejections counts the requests that were rejected by the bounds of their wait: busy by the
// default bounds, urgency and account by shorter ones.
var admissionRejections = map[placement.Reason]*metrics.Counter{
	placement.ReasonBusy:    metrics.GetOrCreateCounter(`hickorydrum_admission_rejections_total{reason="busy"}`),
	placement.ReasonUrgency: metrics.GetOrCreateCounter(`hickorydrum_admission_rejections_total{reason="urgency"}`),
	placement.ReasonAccount: metrics.GetOrCreateCounter(`hickorydrum_admission_rejections_total{reason="account"}`),
}
