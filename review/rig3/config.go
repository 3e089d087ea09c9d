package main

import "fmt"

// rule is a route of the configuration.
type rule struct {
	prefix, service, kind string
	timeoutMs             int
}

// configuration returns a configuration as the operator writes it.
func configuration(version string, rules []rule, services []string) map[string]any {
	var wireRules, clusters []map[string]any
	for _, r := range rules {
		wireRules = append(wireRules, map[string]any{
			"name": "r-" + r.service + "-" + r.kind, "kind": r.kind, "targetLatencyMs": 200, "priority": 2, "stickySessions": true,
			"match":  map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutMs": r.timeoutMs, "maxAttempts": 2, "homeRegions": []string{}},
		})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 3900, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 14.0,
		})
	}
	return map[string]any{
		"version":   version,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []map[string]any{{"host": host, "rules": wireRules}},
		"clusters":  clusters,
	}
}

// withTenants adds a number of tenants to a configuration, and says of its routes whether they need a key.
func withTenants(config map[string]any, count int, anonymous bool) map[string]any {
	tenants := []map[string]any{}
	for i := range count {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("cuka%d", i), "apiKeys": []string{tenantKey(i)}, "priority": 1, "ratePerS": 934, "burst": 934, "homeRegions": []string{},
		})
	}
	config["tenants"] = tenants
	for _, listener := range config["listeners"].([]map[string]any) {
		for _, r := range listener["rules"].([]map[string]any) {
			r["allowAnonymous"] = anonymous
		}
	}
	return config
}

// tenantKey returns the key of a tenant.
func tenantKey(i int) string { return fmt.Sprintf("spuxsr7i427eya6u6s%d", i) }
