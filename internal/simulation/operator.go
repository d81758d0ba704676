package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"yardwharf/internal/simulation/simnet"
)

const (
	callTime     = time.Second
	operatorTry  = 40 // calls for one order
	changedKinds = 4  // services that the changed route goes to in turn
	rate         = 10
	retentionS   = 90
)

// operator sends configurations.
type operator struct {
	world   *world
	network *simnet.Process
	newest  int64 // revision that was acknowledged last
}

func newOperator(w *world) *operator {
	return &operator{world: w, network: w.network.Process(operatorMachine)}
}

type routeEntry struct {
	Name             string  `json:"name"`
	Hostname         string  `json:"hostname"`
	PathPrefix       string  `json:"pathPrefix"`
	RouteType        string  `json:"routeType"`
	TimeoutMs        int     `json:"timeoutMs"`
	TargetLatencyMs  int     `json:"targetLatencyMs"`
	Priority         int     `json:"priority"`
	Service          string  `json:"service"`
	MaxRetries       int     `json:"maxRetries"`
	Ordered          bool    `json:"ordered"`
	RetentionS       float64 `json:"retentionS"`
	Callback         bool    `json:"callback"`
	ScheduleTargetMs int     `json:"scheduleTargetMs"`
}

type serviceEntry struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"healthCheck"`
	MaxConns       int     `json:"maxConns"`
	Protocol       string  `json:"protocol"`
	RatePerS       float64 `json:"ratePerS"`
	StaticEndpoint *string `json:"staticEndpoint"`
}

const (
	routeTimeoutMs = 700
	maxRetries     = 4
)

// configurationOf returns the content of a revision. Two orders with the same
// revision differ by their variant.
func configurationOf(revision int64, variant int) string {
	var routes []routeEntry
	for _, name := range []string{"plain", "ordered", "rated", "callback", "changed"} {
		service := name
		switch name {
		case "callback":
			service = "plain"
		case "changed":
			service = fmt.Sprintf("changed-%d", revision%changedKinds)
		}
		routes = append(routes, routeEntry{
			Name: name, Hostname: host, PathPrefix: "/" + name + "/", RouteType: "async",
			TimeoutMs: routeTimeoutMs, TargetLatencyMs: 120 + variant, Service: service, MaxRetries: maxRetries,
			Ordered: name == "ordered", RetentionS: retentionS, Callback: name == "callback", ScheduleTargetMs: 1000,
		})
	}
	var services []serviceEntry
	for _, entry := range fleet {
		service := serviceEntry{Name: entry.service, HealthCheck: "/health", MaxConns: 96, Protocol: "h1"}
		if entry.service == "rated" {
			service.RatePerS = rate
		}
		services = append(services, service)
	}
	content, _ := json.Marshal(map[string]any{
		"revision": revision, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return string(content)
}

// change sends the next configuration until it has a clear answer. No two orders
// have the same content.
func (o *operator) change(random *rand.Rand) {
	j := o.world.journal
	entry := &order{}
	variant := 0
	j.with(func() {
		variant = len(j.orders)
		entry.base, entry.sent = o.newest, j.now()
		entry.revision = o.newest + 1
		j.orders = append(j.orders, entry)
	})
	entry.content = configurationOf(entry.revision, variant)
	for range operatorTry {
		status := o.replace(entry, random)
		switch status {
		case http.StatusOK:
			j.with(func() {
				entry.acknowledged = j.now()
				entry.answered = j.now()
				o.newest = max(o.newest, entry.revision)
			})
			return
		case http.StatusPreconditionFailed, http.StatusBadRequest, http.StatusConflict:
			j.with(func() {
				entry.refused, entry.invalid = true, status == http.StatusBadRequest
				entry.answered = j.now()
			})
			return
		}
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
}

// race sends two configurations on one base.
func (o *operator) race(random *rand.Rand) {
	done := make(chan struct{})
	seed := random.Uint64()
	go func() {
		defer close(done)
		o.change(rand.New(rand.NewPCG(seed, 5)))
	}()
	o.change(random)
	<-done
}

func (o *operator) replace(entry *order, random *rand.Rand) int {
	request, _ := http.NewRequest(http.MethodPost, o.url("/Config.Replace", random), strings.NewReader(entry.content))
	request.Header.Set("X-Base-Version", fmt.Sprint(entry.base))
	status, _ := o.call(request)
	if random.IntN(8) == 0 {
		return 0 // the answer is lost
	}
	return status
}

func (o *operator) url(path string, random *rand.Rand) string {
	return fmt.Sprintf("http://%s%s", choose(random, o.world.liveControls()).settings.Listen.Control, path)
}

func (o *operator) call(request *http.Request) (int, string) {
	response, err := httpClient(o.network, callTime).Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// read returns the newest configuration, or nothing if none comes.
func (o *operator) read(random *rand.Rand) string {
	for range operatorTry {
		request, _ := http.NewRequest(http.MethodGet, o.url("/Config.Read", random), nil)
		if status, content := o.call(request); status == http.StatusOK {
			return content
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// watchReads reads the configuration at any control member, in touch or not.
func (o *operator) watchReads(ctx context.Context, random *rand.Rand) {
	j := o.world.journal
	for ctx.Err() == nil {
		request, _ := http.NewRequest(http.MethodGet, o.url("/Config.Read", random), nil)
		asked := j.now()
		if status, content := o.call(request); status == http.StatusOK {
			j.with(func() { j.reads = append(j.reads, configurationRead{asked, j.now(), content}) })
		}
		pause(ctx, between(random, 50, 400))
	}
}
