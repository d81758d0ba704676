// Package configuration defines the operator's configuration: its types, its
// validation and the matching of requests to routes.
package configuration

import (
	"time"
)

// RouteTypeAsync is the type of routes whose requests are queued as messages.
const RouteTypeAsync = "async"

// Route defines how requests to a host under a path prefix are handled.
type Route struct {
	Name             string  `json:"name"`
	Hostname         string  `json:"hostname"`
	PathPrefix       string  `json:"pathPrefix"`
	RouteType        string  `json:"routeType"`
	Service          string  `json:"service"`
	Priority         int     `json:"priority"` // 0 is the highest
	TimeoutMs        float64 `json:"timeoutMs"`
	TargetLatencyMs  float64 `json:"targetLatencyMs"`
	ScheduleTargetMs float64 `json:"scheduleTargetMs"`
	MaxRetries       int     `json:"maxRetries"`
	Ordered          bool    `json:"ordered"`
	Callback         bool    `json:"callback"`
	RetentionS       float64 `json:"retentionS"`
}

// Timeout is the time limit of one delivery.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// TargetLatency is the target time for accepting a message.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMs) }

// ScheduleTarget is the target time within which a run should begin.
func (r *Route) ScheduleTarget() time.Duration { return milliseconds(r.ScheduleTargetMs) }

// Retention is the time after which an undelivered message is given up.
func (r *Route) Retention() time.Duration { return milliseconds(r.RetentionS * 1000) }

// Async reports whether requests on the route are messages.
func (r *Route) Async() bool { return r.RouteType == RouteTypeAsync }

// Service is a set of senders that process the same requests.
type Service struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"healthCheck"`
	MaxConns       int     `json:"maxConns"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	RatePerS       float64 `json:"ratePerS"` // 0: no rate limit
	Dedup          bool    `json:"dedup"`
	Pull           bool    `json:"pull"`
	StaticEndpoint string  `json:"staticEndpoint"` // empty: senders come from the platform's list
}

// RateLimited reports whether the service has a rate limit.
func (s *Service) RateLimited() bool { return s.RatePerS > 0 }

// Static reports whether the service is one fixed endpoint instead of listed senders.
func (s *Service) Static() bool { return s.StaticEndpoint != "" }

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// HeaderTimeout is the time limit for receiving a request's headers.
func (l Limits) HeaderTimeout() time.Duration { return milliseconds(l.HeaderTimeoutMs) }

// IdleTimeout is the time after which an idle connection is closed.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMs) }

// maxMilliseconds bounds each time of a configuration: a year.
const maxMilliseconds = 365 * 24 * 3600 * 1000

func milliseconds(value float64) time.Duration {
	return time.Duration(min(value, maxMilliseconds) * float64(time.Millisecond))
}

// Configuration is one revision of the operator's configuration. It is immutable
// once parsed and safe for concurrent use. Callers must not modify the routes
// and services that it returns.
type Configuration struct {
	revision int64
	limits   Limits
	routes   []*Route
	services map[string]*Service
	hosts    map[string]*prefixIndex
	raw      []byte
}

// Revision returns the revision number set by the operator.
func (c *Configuration) Revision() int64 { return c.revision }

// Limits returns the limits on client requests.
func (c *Configuration) Limits() Limits { return c.limits }

// Routes returns all routes in the operator's order.
func (c *Configuration) Routes() []*Route { return c.routes }

// Service returns the service with a name.
func (c *Configuration) Service(name string) (*Service, bool) {
	service, known := c.services[name]
	return service, known
}

// Services returns all services by name.
func (c *Configuration) Services() map[string]*Service { return c.services }

// Raw returns the bytes that the operator sent.
func (c *Configuration) Raw() []byte { return c.raw }
