package simulation

import (
	"fmt"
	"time"
)

// Shared returns the pattern of a deployment in which kinds of requests with different priorities share
// one service, at a load at which most slots are in use at the peak of the wave.
func Shared() *Pattern {
	p := Travellers()
	p.Name, p.Length = "shared", 20*time.Second
	p.Services = []Service{{
		Name: "desk", Slots: 6, Queue: 18, CacheSize: 66,
		Upstreams: map[string]int{"a-1": 2, "a-2": 2, "b-1": 5, "b-2": 5, "c-1": 7, "c-2": 7},
	}}
	p.Kinds = []RequestKind{
		{
			Name: "check", Service: "desk", Idempotent: true, Priority: 0, PerSecond: 150, Objects: 40,
			ServiceTime: 300 * time.Millisecond, WarmGain: 0.7, Objective: 250 * time.Millisecond, Worth: 2, Late: 0.2,
			Timeout: 800 * time.Millisecond, Patience: 2 * time.Second, MaxAttempts: 2,
		},
		{
			Name: "order", Service: "desk", Priority: 1, PerSecond: 80, Objects: 25,
			ServiceTime: 480 * time.Millisecond, WarmGain: 0.7, Objective: 400 * time.Millisecond, Worth: 2, Late: 0.4,
			Timeout: time.Second, Patience: 2500 * time.Millisecond, Bytes: 300, MaxAttempts: 2,
		},
		{
			Name: "search", Service: "desk", Idempotent: true, Priority: 2, PerSecond: 200, Objects: 60,
			ServiceTime: 360 * time.Millisecond, WarmGain: 0.7, Objective: 300 * time.Millisecond, Worth: 1, Late: 0.2,
			Timeout: 800 * time.Millisecond, Patience: 2 * time.Second, MaxAttempts: 2,
		},
		{
			Name: "export", Service: "desk", Idempotent: true, Priority: 2, PerSecond: 12, Objects: 10,
			ServiceTime: 1800 * time.Millisecond, WarmGain: 0.5, Objective: 2 * time.Second, Worth: 1, Late: 0.5,
			Timeout: 4 * time.Second, Patience: 8 * time.Second, Bytes: 60 << 10, MaxAttempts: 2,
		},
	}
	return p
}

// SharedByAccounts returns the pattern of Shared with client accounts of equal size, whose priorities
// take precedence over those of the kinds.
func SharedByAccounts() *Pattern {
	p := Shared()
	p.Name = "accounts"
	const accounts = 12
	for i := range accounts {
		p.Accounts = append(p.Accounts, Account{Name: fmt.Sprintf("account-%02d", i), Priority: i % 3, Share: 1.0 / accounts})
	}
	return p
}
