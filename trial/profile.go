package trial

import "time"

// Profile is an example deployment with the load that it gets.
type Profile struct {
	name         string
	rtt          time.Duration // round trip between regions
	serviceTimes map[string]time.Duration
	workloads    []Workload
}

// Profiles holds the example deployments by name.
var Profiles = map[string]Profile{
	"caltagirone": {
		name: "caltagirone", rtt: 20 * time.Millisecond,
		serviceTimes: map[string]time.Duration{
			"swatches": 40 * time.Millisecond, "orders": 60 * time.Millisecond, "designs": 100 * time.Millisecond,
		},
		workloads: []Workload{
			{Class: ClassListing, Path: "/swatches", Rate: 400},
			{Class: ClassOrder, Path: "/orders", Rate: 30},
			{Class: ClassUpload, Path: "/designs", Rate: 2, Size: 2 << 20, UploadSeconds: 4},
		},
	},
	"valderrama": {
		name: "valderrama", rtt: 35 * time.Millisecond,
		serviceTimes: map[string]time.Duration{
			"phrases": 40 * time.Millisecond, "sales": 60 * time.Millisecond, "recordings": 100 * time.Millisecond,
		},
		workloads: []Workload{
			{Class: ClassListing, Path: "/phrases", Rate: 400},
			{Class: ClassOrder, Path: "/sales", Rate: 30},
			{Class: ClassUpload, Path: "/recordings", Rate: 2, Size: 1 << 20, UploadSeconds: 3},
		},
	},
}
