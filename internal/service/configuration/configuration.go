// Package configuration holds the operator's configuration: its types, its
// checks and the choice of a route.
package configuration

import (
	"time"
)

// RouteTypeAsync marks the routes whose requests are messages.
const RouteTypeAsync = "async"

// Route says what becomes of the requests to a host under a path prefix.
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

// Timeout is the time that one delivery may take.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// TargetLatency is the time within which a message is to be accepted.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMs) }

// ScheduleTarget is the time within which a run is to begin.
func (r *Route) ScheduleTarget() time.Duration { return milliseconds(r.ScheduleTargetMs) }

// Retention is the time after which a message ends undelivered.
func (r *Route) Retention() time.Duration { return milliseconds(r.RetentionS * 1000) }

// Async reports whether requests on the route are messages.
func (r *Route) Async() bool { return r.RouteType == RouteTypeAsync }

// Service is a set of senders that run the same requests.
type Service struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"healthCheck"`
	MaxConns       int     `json:"maxConns"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	RatePerS       float64 `json:"ratePerS"` // 0: no ceiling
	Dedup          bool    `json:"dedup"`
	Pull           bool    `json:"pull"`
	StaticEndpoint string  `json:"staticEndpoint"` // empty: the senders are on the platform's list
}

// Rated reports whether the service has a ceiling.
func (s *Service) Rated() bool { return s.RatePerS > 0 }

// Static reports whether the service is one endpoint that is on no list.
func (s *Service) Static() bool { return s.StaticEndpoint != "" }

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// HeaderTimeout is the time within which a request's head is to arrive.
func (l Limits) HeaderTimeout() time.Duration { return milliseconds(l.HeaderTimeoutMs) }

// IdleTimeout is the time that an idle connection is kept.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMs) }

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Configuration is one revision of the operator's configuration. It is not
// changed once it was parsed, and may be used by many goroutines. Routes and
// services that it hands out must not be changed either.
type Configuration struct {
	revision int64
	limits   Limits
	routes   []*Route
	services map[string]*Service
	hosts    map[string]*prefixTable
	raw      []byte
}

// Revision returns the operator's number of the configuration.
func (c *Configuration) Revision() int64 { return c.revision }

// Limits returns the limits of clients' requests.
func (c *Configuration) Limits() Limits { return c.limits }

// Routes returns all routes in the operator's order.
func (c *Configuration) Routes() []*Route { return c.routes }

// Service returns a service by its name.
func (c *Configuration) Service(name string) (*Service, bool) {
	service, known := c.services[name]
	return service, known
}

// Services returns all services by name.
func (c *Configuration) Services() map[string]*Service { return c.services }

// Raw returns the bytes that the operator sent.
func (c *Configuration) Raw() []byte { return c.raw }
