package main

// newConfig returns a configuration with one route to each service, with the given kind and timeout.
func newConfig(version string, routes ...map[string]any) map[string]any {
	var clusters []map[string]any
	seen := make(map[string]bool)
	for _, r := range routes {
		name := r["action"].(map[string]any)["service"].(string)
		if seen[name] {
			continue
		}
		seen[name] = true
		clusters = append(clusters, map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false,
			"coldStartS": 3.0, "coldPerS": 14.0,
		})
	}
	return map[string]any{
		"version": version,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"listeners": []map[string]any{{"host": host, "rules": routes}},
		"clusters":  clusters,
	}
}

const host = "jepu9.example"

func newRoute(name, kind, prefix, service string, timeoutMillis int) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "targetLatencyMs": 250, "priority": 1, "stickySessions": true,
		"match":  map[string]any{"pathPrefix": prefix},
		"action": map[string]any{"service": service, "timeoutMs": timeoutMillis, "maxAttempts": 2, "homeRegions": []string{}},
	}
}
