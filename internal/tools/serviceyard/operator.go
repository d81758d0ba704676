package serviceyard

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"yardwharf/internal/service/configuration"
)

// Route properties of the yard.
const (
	routeTimeoutMs = 1000
	timeoutSteps   = 5  // time-outs that revisions have in turn, 100 ms apart
	movesEvery     = 20 // revisions, after which the plain route leads to the other service
	retentionS     = 60
	retriesMost    = 5
)

// plainServiceOf returns the service to which the plain route leads in a revision.
func plainServiceOf(revision int64) string {
	return []string{plainService, otherService}[revision/movesEvery%2]
}

// configurationOf returns the yard's configuration.
func configurationOf(revision int64) ([]byte, error) {
	route := func(path, service string, ordered bool) configuration.Route {
		return configuration.Route{
			Name: path, Hostname: Host, PathPrefix: path, RouteType: configuration.RouteTypeAsync,
			Service: service, TimeoutMs: float64(routeTimeoutMs + 100*(revision%timeoutSteps)), TargetLatencyMs: 200, ScheduleTargetMs: 1000,
			MaxRetries: retriesMost, Ordered: ordered, Callback: true, RetentionS: retentionS,
		}
	}
	service := func(name string, rate float64) configuration.Service {
		return configuration.Service{Name: name, HealthCheck: "/health", MaxConns: 64, Protocol: "h1", RatePerS: rate, Dedup: true}
	}
	return json.Marshal(map[string]any{
		"revision": revision,
		"routes": []configuration.Route{
			route(PlainPath, plainServiceOf(revision), false), route(OrderedPath, orderedService, true), route(RatedPath, RatedService, false),
		},
		"services": []configuration.Service{service(plainService, 0), service(otherService, 0), service(orderedService, 0), service(RatedService, RatePerS)},
		"limits": configuration.Limits{
			MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000,
		},
	})
}

// Configure hands a configuration to the control members, one after the other,
// until one has taken it.
func (y *Yard) Configure(ctx context.Context, base, revision int64) error {
	content, err := configurationOf(revision)
	if err != nil {
		return err
	}
	seeds, next := y.seeds(), 0
	return Await(ctx, func() bool {
		address := "http://" + seeds[next%len(seeds)] + "/Config.Replace"
		next++
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(content))
		if err != nil {
			return false
		}
		request.Header.Set("X-Base-Version", strconv.FormatInt(base, 10))
		request.Header.Set("Content-Type", "application/json")
		response, err := httpClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
