package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"hickorydrum/interval"
)

// Class is a kind of request of the users' workloads.
type Class string

// The classes of requests.
const (
	ClassListing Class = "listing" // idempotent, small
	ClassOrder   Class = "order"   // at most once, with an idempotency key
	ClassUpload  Class = "upload"  // at most once, a large body sent slowly
	ClassDirect  Class = "direct"  // a listing straight from an upstream
	ClassLookup  Class = "lookup"
)

const (
	maxLatencyMicros = int64(5 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	uploadChunkBytes = 64 << 10
	resendDelay      = 300 * time.Millisecond
	maxSends         = 3
	requestTimeout   = 70 * time.Second
	listingTimeout   = 5 * time.Second
	maxResponseBytes = 4 << 20
	responseBytes    = 2 << 10 // of the body of a response that callers ask for
)

// Workload is one class of requests and the rate at which they are sent.
type Workload struct {
	Class         Class   `json:"class"`
	Path          string  `json:"path"`
	Rate          float64 `json:"rate"`   // requests per second over all callers
	Size          int     `json:"size"`   // bytes of an upload
	UploadSeconds float64 `json:"length"` // seconds that an upload takes
}

// LoadPlan is the input of the load command.
type LoadPlan struct {
	Seeds     []string   `json:"seeds"`   // caller addresses of instances, for the first look-up
	Callers   []string   `json:"callers"` // source IP addresses of the callers
	Workloads []Workload `json:"works"`
	Direct    []string   `json:"direct"` // address of an upstream in each region, for calls past the instances
	Seconds   float64    `json:"seconds"`
	Seed      uint64     `json:"seed"`
}

// RequestResult is what the responses said about one request that must not be executed
// twice.
type RequestResult struct {
	ID   string `json:"id"`
	Ran  string `json:"ran"` // execution by the last response: yes, no or unknown; empty without a response
	Code int    `json:"code"`
	// Sends is the number of times that the request was sent. NotRun counts the sends
	// that are reported as not executed, by the response or because no request left the
	// caller.
	Sends  int `json:"sends"`
	NotRun int `json:"notRun"`
}

// ClassReport holds the counts and the latencies of one class of requests.
type ClassReport struct {
	Class   Class   `json:"class"`
	Sent    int     `json:"sent"`
	OK      int     `json:"ok"`
	NotRun  int     `json:"notRun"`  // failed, and reported as not executed
	Unknown int     `json:"unknown"` // failed, and possibly executed
	Corrupt int     `json:"wrong"`   // status 200, but body, id or checksum don't belong to the request
	P50     float64 `json:"p50"`     // milliseconds
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Max     float64 `json:"max"`
}

// LoadReport is the output of the load command.
type LoadReport struct {
	Classes []ClassReport   `json:"classes"`
	Results []RequestResult `json:"told"`
	Errors  []string        `json:"errors"` // the first failures, at most maxErrorTexts
}

const maxErrorTexts = 40

// Load generates requests from a set of callers and counts their outcomes.
type Load struct {
	plan    LoadPlan
	callers []*caller

	mu         sync.Mutex
	reports    map[Class]*ClassReport
	histograms map[Class]*hdrhistogram.Histogram
	results    []RequestResult
	errors     []string
	lastID     int
}

// NewLoad returns a load for the plan. It fails if the plan has no callers or no seeds,
// or if a caller is not an IP address.
func NewLoad(plan LoadPlan) (*Load, error) {
	l := &Load{plan: plan, reports: make(map[Class]*ClassReport), histograms: make(map[Class]*hdrhistogram.Histogram)}
	for i, ip := range plan.Callers {
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			return nil, fmt.Errorf("caller %q is not an IP number: %w", ip, err)
		}
		l.callers = append(l.callers, newCaller(l, addr, plan.Seed+uint64(i)))
	}
	if len(l.callers) == 0 || len(plan.Seeds) == 0 {
		return nil, errors.New("a load needs callers and seeds")
	}
	return l, nil
}

// Run sends requests for the duration of the plan, waits for their responses and
// returns the report.
func (l *Load) Run(ctx context.Context) LoadReport {
	until := time.Now().Add(time.Duration(l.plan.Seconds * float64(time.Second)))
	workloads := l.plan.Workloads
	if len(l.plan.Direct) > 0 {
		workloads = append(workloads, Workload{Class: ClassDirect, Rate: workloads[0].Rate / 10, Path: workloads[0].Path})
	}
	var group errgroup.Group
	for i, w := range workloads {
		random := rand.New(rand.NewPCG(l.plan.Seed, uint64(i)))
		group.Go(func() error {
			l.sendAtRate(ctx, w, random, until, &group)
			return nil
		})
	}
	_ = group.Wait()
	for _, c := range l.callers {
		c.client.CloseIdleConnections()
	}
	return l.report()
}

// sendAtRate sends the requests of one workload at exponentially distributed intervals
// until the given time. It does not wait for earlier responses.
func (l *Load) sendAtRate(ctx context.Context, w Workload, random *rand.Rand, until time.Time, group *errgroup.Group) {
	at := time.Now()
	for {
		at = at.Add(time.Duration(random.ExpFloat64() / w.Rate * float64(time.Second)))
		if at.After(until) {
			return
		}
		if !interval.Sleep(ctx, time.Until(at)) {
			return
		}
		c := l.callers[random.IntN(len(l.callers))]
		id := l.newID(w.Class)
		direct := ""
		if w.Class == ClassDirect {
			direct = l.plan.Direct[c.region%len(l.plan.Direct)]
		}
		group.Go(func() error {
			c.send(ctx, w, id, direct)
			return nil
		})
	}
}

// newID returns a load id. Loads with different seeds have different ids. It locks the
// load.
func (l *Load) newID(class Class) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return string(class) + "-" + strconv.FormatUint(l.plan.Seed, 10) + "-" + strconv.Itoa(l.lastID)
}

// outcome is the result of one request after its last send.
type outcome struct {
	sends     int
	notRun    int // sends that are reported as not executed
	class     Class
	id        string
	latency   time.Duration
	code      int
	execution string
	corrupt   bool
	err       error
}

// record counts an outcome, and keeps the results of orders and uploads for the checks.
// It locks the load.
func (l *Load) record(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[o.class]
	if !ok {
		r = &ClassReport{Class: o.class}
		l.reports[o.class] = r
		l.histograms[o.class] = hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	}
	r.Sent++
	switch {
	case o.corrupt:
		r.Corrupt++
	case o.code == http.StatusOK:
		r.OK++
		_ = l.histograms[o.class].RecordValue(o.latency.Microseconds())
	case o.execution == "no":
		r.NotRun++
	default:
		r.Unknown++
	}
	if (o.err != nil || o.code != http.StatusOK || o.corrupt) && len(l.errors) < maxErrorTexts {
		l.errors = append(l.errors, fmt.Sprintf("%s code=%d ran=%s wrong=%v after %s: %v",
			o.id, o.code, o.execution, o.corrupt, o.latency.Round(time.Millisecond), o.err))
	}
	if o.class == ClassOrder || o.class == ClassUpload {
		l.results = append(l.results, RequestResult{ID: o.id, Ran: o.execution, Code: o.code, Sends: o.sends, NotRun: o.notRun})
	}
}

// report returns the counts so far, with latencies in milliseconds. It locks the load.
func (l *Load) report() LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := LoadReport{Results: l.results, Errors: l.errors}
	const microsPerMilli = 1000.0
	for _, class := range []Class{ClassLookup, ClassDirect, ClassListing, ClassOrder, ClassUpload} {
		r, ok := l.reports[class]
		if !ok {
			continue
		}
		h := l.histograms[class]
		r.P50 = float64(h.ValueAtQuantile(50)) / microsPerMilli
		r.P99 = float64(h.ValueAtQuantile(99)) / microsPerMilli
		r.P999 = float64(h.ValueAtQuantile(99.9)) / microsPerMilli
		r.Max = float64(h.Max()) / microsPerMilli
		report.Classes = append(report.Classes, *r)
	}
	return report
}
