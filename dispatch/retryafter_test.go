package dispatch

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"hickorydrum/fault"
)

// TestParseRetryAfter guards against an upstream that gets requests before the time that it named, or
// none for longer.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	inFive := now.Add(5 * time.Second).Format(http.TimeFormat)
	tests := map[string]struct {
		values []string
		date   string
		wait   time.Duration
		named  bool
		err    bool
	}{
		"absent":                       {},
		"whole":                        {values: []string{"3"}, wait: 3 * time.Second, named: true},
		"with spaces":                  {values: []string{" 3 "}, wait: 3 * time.Second, named: true},
		"a fraction":                   {values: []string{"0.25"}, wait: 250 * time.Millisecond, named: true},
		"zero":                         {values: []string{"0"}, named: true},
		"more than a day":              {values: []string{"100000"}, wait: 100000 * time.Second, named: true},
		"more than can be counted":     {values: []string{"1e30"}, wait: MaxRetryAfter, named: true},
		"more than a number can hold":  {values: []string{"1e999"}, wait: MaxRetryAfter, named: true},
		"negative":                     {values: []string{"-1"}, err: true},
		"negative beyond all":          {values: []string{"-1e999"}, err: true},
		"no number":                    {values: []string{"soon"}, err: true},
		"not a number":                 {values: []string{"NaN"}, err: true},
		"empty":                        {values: []string{""}, err: true},
		"twice":                        {values: []string{"1", "2"}, wait: 2 * time.Second, named: true},
		"twice, one is no number":      {values: []string{"x", "2"}, wait: 2 * time.Second, named: true},
		"a date":                       {values: []string{inFive}, wait: 5 * time.Second, named: true},
		"a date by the upstream's":     {values: []string{inFive}, date: now.Add(2 * time.Second).Format(http.TimeFormat), wait: 3 * time.Second, named: true},
		"a date that is past":          {values: []string{now.Add(-time.Hour).Format(http.TimeFormat)}, named: true},
		"a date and a number, in time": {values: []string{inFive, "7"}, wait: 7 * time.Second, named: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{"Retry-After": test.values}
			if test.date != "" {
				h.Set("Date", test.date)
			}
			wait, named, err := ParseRetryAfter(h, now)
			if wait != test.wait || named != test.named || (err != nil) != test.err {
				t.Errorf("%s, named %t, error %v; want %s, named %t, an error %t", wait, named, err, test.wait, test.named, test.err)
			}
		})
	}
}

func FuzzParseRetryAfter(f *testing.F) {
	for _, text := range []string{"3", "0.5", "-1", "soon", "Sat, 05 Dec 2026 12:00:00 GMT", "1e30"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		wait, _, _ := ParseRetryAfter(http.Header{"Retry-After": {text}}, time.Unix(0, 0))
		if wait < 0 || wait > MaxRetryAfter {
			t.Errorf("%q: %s", text, wait)
		}
	})
}

// TestRefusalRetryAfter checks when a request may be retried that its upstream refused.
func TestRefusalRetryAfter(t *testing.T) {
	tests := map[string]struct {
		value string
		want  time.Duration
	}{
		"seconds":        {"2", 2 * time.Second},
		"with fractions": {"0.5", 500 * time.Millisecond},
		"too long":       {"3600", maxRetryAfter},
		"not valid":      {"soon", defaultRetryAfter},
		"none":           {"", defaultRetryAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := make(http.Header)
				if test.value != "" {
					h.Set("Retry-After", test.value)
				}
				f := overloaded(&http.Response{Header: h})
				got := time.Until(fault.New(f.kind, f.text, "", f.opts...).RetryAt())
				if got != test.want {
					t.Errorf("a retry after %v, want %v", got, test.want)
				}
			})
		})
	}
}
