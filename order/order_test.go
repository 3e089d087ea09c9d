package order

import (
	"context"
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

type bench struct {
	t     *testing.T
	store *standin.Store
	book  *Book
}

func newBench(ctx context.Context, t *testing.T) *bench {
	store := standin.NewStore()
	return &bench{t: t, store: store, book: New(ctx, store, slog.New(slog.DiscardHandler))}
}

// other returns the book of another instance on the same platform.
func (b *bench) other(ctx context.Context) *bench {
	return &bench{t: b.t, store: b.store, book: New(ctx, b.store, slog.New(slog.DiscardHandler))}
}

func (b *bench) begin(key, request string) (*Claim, result) {
	b.t.Helper()
	claim, answer, err := b.book.Begin(b.t.Context(), testService, key, request, time.Now().Add(10*time.Second))
	r := result{Claimed: claim != nil}
	if answer != nil {
		r.Body = string(answer.Body())
	}
	if err != nil {
		r.Kind, r.Execution = fault.KindOf(err), fault.From(err).Execution()
	}
	return claim, r
}

func (b *bench) mustClaim() *Claim {
	b.t.Helper()
	claim, r := b.begin(testKey, testRequest)
	if claim == nil {
		b.t.Fatalf("the first send got no claim: %+v", r)
	}
	return claim
}

func unrun() error { return fault.New(fault.Overloaded, "no slot", "") }
func unknown() error {
	return fault.New(fault.Corrupt, "cut", "", fault.WithExecution(fault.MaybeExecuted))
}

var (
	underWayResult = result{Kind: fault.Conflict, Execution: fault.MaybeExecuted}
	// An earlier send with the key may have been run, though this one was not.
	refusedResult = result{Kind: fault.Unavailable, Execution: fault.MaybeExecuted}
)

// TestResend is the fault matrix of the claim: what a re-send through another
// instance is told after each end of the first send.
func TestResend(t *testing.T) {
	tests := map[string]struct {
		first  func(b *bench) // the first send, up to its end
		wait   time.Duration
		key    string
		resend string
		want   result
	}{
		"answered": {
			first: func(b *bench) { b.mustClaim().Finish(NewAnswer(http.StatusOK, nil, []byte("done"))) },
			want:  result{Body: "done"},
		},
		"answered, too large to keep": {
			first: func(b *bench) { b.mustClaim().Finish(NewAnswer(http.StatusOK, nil, make([]byte, MaxKept+1))) },
			want:  result{Kind: fault.Conflict, Execution: fault.Executed},
		},
		"answered, its end on the way": {
			first: func(b *bench) {
				c := b.mustClaim()
				// The caller has its answer already and sends again at once.
				b.book.group.Go(func() error {
					time.Sleep(settleWait / 2)
					c.Finish(NewAnswer(http.StatusOK, nil, []byte("done")))
					return nil
				})
			},
			want: result{Body: "done"},
		},
		"under way":                  {first: func(b *bench) { b.mustClaim() }, want: underWayResult},
		"holder gone, still in time": {first: func(b *bench) { b.mustClaim() }, wait: 14 * time.Second, want: underWayResult},
		"holder gone, time over": {
			first: func(b *bench) { b.mustClaim() }, wait: 16 * time.Second,
			want: result{Kind: fault.Conflict, Execution: fault.MaybeExecuted},
		},
		"not run": {first: func(b *bench) { b.mustClaim().Fail(unrun()) }, want: result{Claimed: true}},
		"outcome unknown": {
			first: func(b *bench) { b.mustClaim().Fail(unknown()) },
			want:  result{Kind: fault.Conflict, Execution: fault.MaybeExecuted},
		},
		"another request under the key": {
			first: func(b *bench) { b.mustClaim().Fail(unrun()) }, resend: "POST /orders/other",
			want: result{Kind: fault.Invalid, Execution: fault.NotExecuted},
		},
		"key too long": {
			first: func(*bench) {}, key: string(make([]byte, MaxKey+1)),
			want: result{Kind: fault.Invalid, Execution: fault.NotExecuted},
		},
		"answer to the claim lost": {
			first: func(b *bench) {
				b.store.Fail(standin.StoreLoseResponse, 1)
				b.mustClaim()
			},
			want: underWayResult,
		},
		"platform down at the claim": {
			first: func(b *bench) {
				b.store.Fail(standin.StoreDown, -1)
				_, r := b.begin(testKey, testRequest)
				if diff := cmp.Diff(refusedResult, r); diff != "" {
					b.t.Error(diff)
				}
				b.store.Fail(standin.StoreDown, 0)
			},
			want: result{Claimed: true},
		},
		"claim lands late, after a refusal": {
			first: func(b *bench) {
				b.store.Fail(standin.StoreLateWrite, 1)
				_, r := b.begin(testKey, testRequest)
				if diff := cmp.Diff(refusedResult, r); diff != "" {
					b.t.Error(diff)
				}
				b.store.ApplyLateWrites()
			},
			wait: 20 * time.Second, // the refusing instance releases it meanwhile
			want: result{Claimed: true},
		},
		"answer to the end lost": {
			first: func(b *bench) {
				c := b.mustClaim()
				b.store.Fail(standin.StoreLoseResponse, 1)
				c.Finish(NewAnswer(http.StatusOK, nil, []byte("done")))
			},
			want: result{Body: "done"},
		},
		"platform down at the end": {
			first: func(b *bench) {
				c := b.mustClaim()
				b.store.Fail(standin.StoreDown, -1)
				c.Finish(NewAnswer(http.StatusOK, nil, []byte("done")))
				b.store.Fail(standin.StoreDown, 0)
			},
			wait: 20 * time.Second,
			want: result{Kind: fault.Conflict, Execution: fault.MaybeExecuted},
		},
		"answered, then platform down": {
			first: func(b *bench) {
				b.mustClaim().Finish(NewAnswer(http.StatusOK, nil, []byte("done")))
				b.store.Fail(standin.StoreDown, -1)
			},
			want: refusedResult,
		},
		"platform slow": {
			first: func(b *bench) {
				b.store.Fail(standin.StoreSlow, -1)
				b.mustClaim().Finish(NewAnswer(http.StatusOK, nil, []byte("done")))
			},
			want: result{Body: "done"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				b := newBench(ctx, t)
				test.first(b)
				time.Sleep(test.wait)
				key, request := testKey, testRequest
				if test.key != "" {
					key = test.key
				}
				if test.resend != "" {
					request = test.resend
				}
				_, got := b.other(ctx).begin(key, request)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
				cancel()
				b.book.Wait()
			})
		})
	}
}

// TestOneClaimAtATime has many instances race for one key: at most one may
// dispatch at a time, whatever the platform loses.
func TestOneClaimAtATime(t *testing.T) {
	for _, f := range []standin.StoreFault{"", standin.StoreLoseResponse, standin.StoreLateWrite, standin.StoreSlow} {
		t.Run("fault "+string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				b := newBench(ctx, t)
				if f != "" {
					b.store.Fail(f, 3)
				}
				holders := 0
				for try := range 8 {
					claim, _ := b.other(ctx).begin(testKey, testRequest)
					if claim == nil {
						b.store.ApplyLateWrites()
						time.Sleep(3 * time.Second)
						continue
					}
					if holders++; holders > 1 {
						t.Fatalf("try %d got a second claim", try)
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

func TestClean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t.Context(), t)
		b.mustClaim().Finish(NewAnswer(http.StatusOK, nil, []byte("done")))
		for _, step := range []struct {
			wait time.Duration
			want int
		}{{time.Hour, 1}, {KeepFor, 0}} {
			time.Sleep(step.wait)
			if err := b.book.Clean(t.Context()); err != nil {
				t.Fatal(err)
			}
			page, err := b.store.List(t.Context(), Prefix)
			if err != nil {
				t.Fatal(err)
			}
			if len(page.Objects) != step.want {
				t.Errorf("%d claims are kept after %s, want %d", len(page.Objects), step.wait, step.want)
			}
		}
	})
}
