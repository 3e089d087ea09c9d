package idempotency

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/fault"
	"hickorydrum/standin"
)

const (
	testService = "orders"
	testKey     = "key-1"
	testRequest = "POST /orders"
)

// result is the outcome of one Begin, as a caller sees it.
type result struct {
	Claimed   bool
	Body      string
	Kind      fault.Kind
	Execution fault.Execution
}

// fixture is a platform's store and the claimer of one instance.
type fixture struct {
	t       *testing.T
	store   *standin.Store
	claimer *Claimer
	held    *Claim // of a test
}

func newFixture(ctx context.Context, t *testing.T) *fixture {
	store := standin.NewStore()
	return &fixture{t: t, store: store, claimer: New(ctx, store.Client(), slog.New(slog.DiscardHandler))}
}

// other returns a fixture with the claimer of another instance on the same store.
func (f *fixture) other(ctx context.Context) *fixture {
	return &fixture{t: f.t, store: f.store, claimer: New(ctx, f.store.Client(), slog.New(slog.DiscardHandler))}
}

func (f *fixture) begin(key, request string) (*Claim, result) {
	f.t.Helper()
	claim, response, err := f.claimer.Begin(f.t.Context(), testService, key, request, time.Now().Add(10*time.Second))
	r := result{Claimed: claim != nil}
	if response != nil {
		r.Body = string(response.Body())
	}
	if err != nil {
		r.Kind, r.Execution = fault.KindOf(err), fault.From(err).Execution()
	}
	return claim, r
}

func (f *fixture) mustClaim() *Claim {
	f.t.Helper()
	claim, r := f.begin(testKey, testRequest)
	if claim == nil {
		f.t.Fatalf("the first request got no claim: %+v", r)
	}
	return claim
}

func notExecuted() error { return fault.New(fault.Overloaded, "no slot", "") }
func unknown() error {
	return fault.New(fault.Corrupt, "cut", "", fault.WithExecution(fault.MaybeExecuted))
}

var (
	inProgressResult = result{Kind: fault.Conflict, Execution: fault.MaybeExecuted}
	// This request was not executed, but an earlier one with the key may have been.
	unavailableResult = result{Kind: fault.Unavailable, Execution: fault.MaybeExecuted}
)

// TestResend guards against a request that is executed twice, and against a response
// that is lost: it checks the result of a repeated request through another instance
// after each outcome of the first request and each fault of the platform.
func TestResend(t *testing.T) {
	tests := map[string]struct {
		first  func(f *fixture) // sends the first request, up to its outcome
		wait   time.Duration
		key    string
		resend string
		want   result
	}{
		"answered": {
			first: func(f *fixture) { f.mustClaim().Finish(NewResponse(http.StatusOK, nil, []byte("done"))) },
			want:  result{Body: "done"},
		},
		"answered, too large to keep": {
			first: func(f *fixture) { f.mustClaim().Finish(NewResponse(http.StatusOK, nil, make([]byte, MaxStoredBody+1))) },
			want:  result{Kind: fault.Conflict, Execution: fault.Executed},
		},
		"answered, its end on the way": {
			first: func(f *fixture) {
				c := f.mustClaim()
				// The caller has its response already and repeats the request at once.
				f.claimer.group.Go(func() error {
					time.Sleep(resultWait / 2)
					c.Finish(NewResponse(http.StatusOK, nil, []byte("done")))
					return nil
				})
			},
			want: result{Body: "done"},
		},
		"under way":                  {first: func(f *fixture) { f.mustClaim() }, want: inProgressResult},
		"holder gone, still in time": {first: func(f *fixture) { f.mustClaim() }, wait: 14 * time.Second, want: inProgressResult},
		"holder gone, time over": {
			first: func(f *fixture) { f.mustClaim() }, wait: 16 * time.Second,
			want: result{Kind: fault.Conflict, Execution: fault.MaybeExecuted},
		},
		"not run": {first: func(f *fixture) { f.mustClaim().Fail(notExecuted()) }, want: result{Claimed: true}},
		"outcome unknown": {
			first: func(f *fixture) { f.mustClaim().Fail(unknown()) },
			want:  result{Kind: fault.Conflict, Execution: fault.MaybeExecuted},
		},
		"answered, after the store came back from a copy without the claim": {
			first: func(f *fixture) {
				backup := f.store.Copy()
				c := f.mustClaim()
				f.store.Restore(backup)
				c.Finish(NewResponse(http.StatusOK, nil, []byte("done")))
			},
			want: result{Body: "done"},
		},
		"answered, after another request got the claim that the copy lacks": {
			first: func(f *fixture) {
				backup := f.store.Copy()
				c := f.mustClaim()
				f.store.Restore(backup)
				f.mustClaim() // at the revision of the first one
				c.Finish(NewResponse(http.StatusOK, nil, []byte("done")))
			},
			want: inProgressResult,
		},
		"another request under the key": {
			first: func(f *fixture) { f.mustClaim().Fail(notExecuted()) }, resend: "POST /orders/other",
			want: result{Kind: fault.Invalid, Execution: fault.NotExecuted},
		},
		"key too long": {
			first: func(*fixture) {}, key: string(make([]byte, MaxKeyLength+1)),
			want: result{Kind: fault.Invalid, Execution: fault.NotExecuted},
		},
		"answer to the claim lost": {
			first: func(f *fixture) {
				f.store.Fail(standin.StoreLoseResponse, 1)
				f.mustClaim()
			},
			want: inProgressResult,
		},
		"platform down at the claim": {
			first: func(f *fixture) {
				f.store.Fail(standin.StoreDown, -1)
				_, r := f.begin(testKey, testRequest)
				if diff := cmp.Diff(unavailableResult, r); diff != "" {
					f.t.Error(diff)
				}
				f.store.Fail(standin.StoreDown, 0)
			},
			want: result{Claimed: true},
		},
		"claim lands late, after a refusal": {
			first: func(f *fixture) {
				f.store.Fail(standin.StoreLateWrite, 1)
				_, r := f.begin(testKey, testRequest)
				if diff := cmp.Diff(unavailableResult, r); diff != "" {
					f.t.Error(diff)
				}
				f.store.ApplyLateWrites()
			},
			wait: 20 * time.Second, // the instance that refused the request releases the claim meanwhile
			want: result{Claimed: true},
		},
		"answer to the end lost": {
			first: func(f *fixture) {
				c := f.mustClaim()
				f.store.Fail(standin.StoreLoseResponse, 1)
				c.Finish(NewResponse(http.StatusOK, nil, []byte("done")))
			},
			want: result{Body: "done"},
		},
		"platform down at the end": {
			first: func(f *fixture) {
				c := f.mustClaim()
				f.store.Fail(standin.StoreDown, -1)
				c.Finish(NewResponse(http.StatusOK, nil, []byte("done")))
				f.store.Fail(standin.StoreDown, 0)
			},
			wait: 20 * time.Second,
			want: result{Kind: fault.Conflict, Execution: fault.MaybeExecuted},
		},
		"answered, then platform down": {
			first: func(f *fixture) {
				f.mustClaim().Finish(NewResponse(http.StatusOK, nil, []byte("done")))
				f.store.Fail(standin.StoreDown, -1)
			},
			want: unavailableResult,
		},
		"platform slow": {
			first: func(f *fixture) {
				f.store.Fail(standin.StoreSlow, -1)
				f.mustClaim().Finish(NewResponse(http.StatusOK, nil, []byte("done")))
			},
			want: result{Body: "done"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFixture(ctx, t)
				test.first(f)
				time.Sleep(test.wait)
				key, request := testKey, testRequest
				if test.key != "" {
					key = test.key
				}
				if test.resend != "" {
					request = test.resend
				}
				_, got := f.other(ctx).begin(key, request)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
				cancel()
				f.claimer.Wait()
			})
		})
	}
}

// TestWriteAgain guards against a request that is executed twice since the store came back from a copy without its claim,
// or with an earlier state of it, after it had ended.
func TestWriteAgain(t *testing.T) {
	answer := func(c *Claim) { c.Finish(NewResponse(http.StatusOK, nil, []byte("done"))) }
	tests := map[string]struct {
		before func(f *fixture)               // what the copy has
		lost   func(f *fixture)               // what it lacks
		after  func(t *testing.T, f *fixture) // between the return and the writing
		want   result
	}{
		"answered": {lost: func(f *fixture) { answer(f.mustClaim()) }, want: result{Body: "done"}},
		"answered, claimed in the copy": {
			before: func(f *fixture) { f.held = f.mustClaim() }, lost: func(f *fixture) { answer(f.held) },
			want: result{Body: "done"},
		},
		"answered, too large to keep": {
			lost: func(f *fixture) { f.mustClaim().Finish(NewResponse(http.StatusOK, nil, make([]byte, MaxStoredBody+1))) },
			want: result{Kind: fault.Conflict, Execution: fault.Executed},
		},
		"outcome unknown": {
			lost: func(f *fixture) { f.mustClaim().Fail(unknown()) },
			want: result{Kind: fault.Conflict, Execution: fault.MaybeExecuted},
		},
		"under way": {lost: func(f *fixture) { f.mustClaim() }, want: inProgressResult},
		"not run, claimed in the copy": {
			before: func(f *fixture) { f.held = f.mustClaim() }, lost: func(f *fixture) { f.held.Fail(notExecuted()) },
			want: result{Claimed: true},
		},
		"not run, then answered": {
			lost: func(f *fixture) {
				f.mustClaim().Fail(notExecuted())
				answer(f.mustClaim())
			},
			want: result{Body: "done"},
		},
		"answered, not run before in the copy": {
			before: func(f *fixture) { f.mustClaim().Fail(notExecuted()) },
			lost:   func(f *fixture) { answer(f.mustClaim()) },
			want:   result{Body: "done"},
		},
		"another request got the key": {
			lost:  func(f *fixture) { answer(f.mustClaim()) },
			after: func(_ *testing.T, f *fixture) { f.other(f.t.Context()).mustClaim() },
			want:  inProgressResult,
		},
		"answered while it is written again": {
			lost: func(f *fixture) { f.held = f.mustClaim() },
			after: func(_ *testing.T, f *fixture) {
				f.store.Fail(standin.StoreSlow, -1)
				f.claimer.Go(func() { answer(f.held) })
			},
			want: result{Body: "done"},
		},
		"store away": {
			lost: func(f *fixture) { answer(f.mustClaim()) },
			after: func(_ *testing.T, f *fixture) {
				f.store.Fail(standin.StoreDown, -1)
				time.AfterFunc(5*time.Second, func() { f.store.Fail(standin.StoreDown, 0) })
			},
			want: result{Body: "done"},
		},
		"a copy of long ago": {
			lost: func(f *fixture) {
				answer(f.mustClaim())
				time.Sleep(maxCopyAge + time.Second)
				if claim, _ := f.begin("another", testRequest); claim == nil {
					f.t.Error("another key is not claimed")
				}
			},
			want: result{Claimed: true}, // forgotten
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFixture(ctx, t)
				if test.before != nil {
					test.before(f)
				}
				backup := f.store.Copy()
				test.lost(f)
				f.store.Restore(backup)
				if test.after != nil {
					test.after(t, f)
				}
				f.claimer.WriteAgain()
				time.Sleep(9 * time.Second) // a claim under way expires after 15 s
				f.store.Fail(standin.StoreSlow, 0)
				_, got := f.other(ctx).begin(testKey, testRequest)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
				cancel()
				f.claimer.Wait()
			})
		})
	}
}

// TestKeptClaims guards against claims and bodies that are kept without bounds for the case that the store loses them.
func TestKeptClaims(t *testing.T) {
	now := time.Now()
	var kept keptClaims
	ended := record{State: stateDone, Stored: true, Body: make([]byte, MaxStoredBody)}
	for n := range 2 * maxKept {
		kept.keep(fmt.Sprint(n), ended, now)
		kept.keep(fmt.Sprint(n), ended, now) // as after a failed write
	}
	if got := len(kept.objects()); got > maxKept || kept.bytes > maxKeptBytes {
		t.Errorf("%d claims and %d bytes are kept", got, kept.bytes)
	}
	if rec, ok := kept.latest(fmt.Sprint(2*maxKept - 1)); !ok || rec.State != stateDone || rec.Stored {
		t.Errorf("the last claim is kept as %+v, %t, want it without its response", rec.State, ok)
	}
	kept.keep("later", ended, now.Add(maxCopyAge+time.Second))
	if diff := cmp.Diff([]string{"later"}, kept.objects()); diff != "" || kept.bytes != MaxStoredBody || len(kept.order) != 1 {
		t.Errorf("%d bytes, %d entries; %s", kept.bytes, len(kept.order), diff)
	}
}

// TestOneClaimAtATime guards against two instances that both hold the claim of a key:
// instances claim it one after the other while writes or responses of the platform are
// lost, late or slow, and only one may get it.
func TestOneClaimAtATime(t *testing.T) {
	for _, storeFault := range []standin.StoreFault{"", standin.StoreLoseResponse, standin.StoreLateWrite, standin.StoreSlow} {
		t.Run("fault "+string(storeFault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFixture(ctx, t)
				if storeFault != "" {
					f.store.Fail(storeFault, 3)
				}
				holders := 0
				for attempt := range 8 {
					claim, _ := f.other(ctx).begin(testKey, testRequest)
					if claim == nil {
						f.store.ApplyLateWrites()
						time.Sleep(3 * time.Second)
						continue
					}
					if holders++; holders > 1 {
						t.Fatalf("attempt %d got a second claim", attempt)
					}
				}
				if holders != 1 {
					t.Errorf("%d claims, want 1", holders)
				}
				cancel()
			})
		})
	}
}

// TestReleaseAtStop guards against a key that stays blocked because the instance that was to
// release its claim stopped: no instance has executed the request.
func TestReleaseAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFixture(ctx, t)
		f.store.Fail(standin.StoreLateWrite, 1)
		_, r := f.begin(testKey, testRequest)
		if diff := cmp.Diff(unavailableResult, r); diff != "" {
			t.Error(diff)
		}
		synctest.Wait() // the first attempt to release finds no claim
		f.store.ApplyLateWrites()
		cancel()
		f.claimer.Wait()
		_, got := f.other(t.Context()).begin(testKey, testRequest)
		if diff := cmp.Diff(result{Claimed: true}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestClean checks that a claim is deleted after the retention and not before.
func TestClean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t.Context(), t)
		f.mustClaim().Finish(NewResponse(http.StatusOK, nil, []byte("done")))
		for _, step := range []struct {
			wait time.Duration
			want int
		}{{time.Hour, 1}, {Retention, 0}} {
			time.Sleep(step.wait)
			if err := f.claimer.Clean(t.Context()); err != nil {
				t.Fatal(err)
			}
			page, err := f.store.Client().List(t.Context(), Prefix)
			if err != nil {
				t.Fatal(err)
			}
			if len(page.Objects) != step.want {
				t.Errorf("%d claims are stored after %s, want %d", len(page.Objects), step.wait, step.want)
			}
		}
	})
}
