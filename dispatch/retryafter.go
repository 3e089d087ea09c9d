package dispatch

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter is the longest time that ParseRetryAfter returns.
const MaxRetryAfter = 365 * 24 * time.Hour

// ParseRetryAfter returns the time in the Retry-After header of a response that is received now, and
// whether there is one. It is a number of seconds, with a fraction if need be, or an HTTP date,
// which counts from the Date header if there is one. A date that is past gives 0. Of several values the
// longest counts, and a value that is neither gives an error if no other is valid.
func ParseRetryAfter(h http.Header, now time.Time) (wait time.Duration, named bool, err error) {
	if date, dateErr := http.ParseTime(h.Get("Date")); dateErr == nil {
		now = date
	}
	for _, value := range h.Values("Retry-After") {
		one, valueErr := parseRetryAfter(strings.TrimSpace(value), now)
		if valueErr != nil {
			err = valueErr
			continue
		}
		wait, named = max(wait, one), true
	}
	if named {
		return wait, true, nil
	}
	return 0, false, err
}

func parseRetryAfter(value string, now time.Time) (time.Duration, error) {
	if date, err := http.ParseTime(value); err == nil {
		return min(max(0, date.Sub(now)), MaxRetryAfter), nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		return 0, fmt.Errorf("Retry-After is neither a number of seconds nor a date: %w", err)
	}
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.New("Retry-After is not a time ahead")
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), nil
}
