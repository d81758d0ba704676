package main

import (
	"fmt"
	"time"

	"yardwharf/review/second/yard"
)

const host = "yard.example"

// deployment is a running deployment with its senders.
type deployment struct {
	*yard.Yard
	ledger  *yard.Ledger
	senders []*yard.Sender
}

func (d *deployment) close() {
	d.Yard.Close()
	for _, s := range d.senders {
		_ = s.Close()
	}
}

// startDeployment starts a deployment with senders of some services.
func startDeployment(options yard.Options, record *yard.Record, senders map[string]int, routes, services []map[string]any) (*deployment, error) {
	return startDeploymentWith(options, record, senders, routes, services, yard.Limits())
}

// startDeploymentWith starts a deployment whose first configuration has some limits.
func startDeploymentWith(options yard.Options, record *yard.Record, senders map[string]int, routes, services []map[string]any, limits map[string]any) (*deployment, error) {
	y, err := yard.New(options, record)
	if y == nil {
		return nil, err
	}
	d := &deployment{Yard: y, ledger: yard.NewLedger(record)}
	if err == nil {
		err = d.start(senders, routes, services, limits)
	}
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(senders map[string]int, routes, services []map[string]any, limits map[string]any) error {
	for service, count := range senders {
		for i := range count {
			s, err := yard.StartSender(fmt.Sprintf("i-%s-%d", service, i+1), service, yard.Zone(i), 12, d.ledger)
			if err != nil {
				return err
			}
			d.senders = append(d.senders, s)
			d.Platform.Set(append(d.Platform.List(), s.Instance())...)
		}
	}
	if err := d.Start(); err != nil {
		return err
	}
	if err := d.ConfigureLimits(0, 1, routes, services, limits); err != nil {
		return err
	}
	if err := d.Started(); err != nil {
		return err
	}
	if err := d.AwaitReady(30 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // contactMs
	return nil
}

// route returns a route as the pages show it.
func route(name, prefix, service string, timeoutMs int, ordered, callback bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "routeType": "async", "timeoutMs": timeoutMs, "targetLatencyMs": 120,
		"priority": 2, "service": service, "maxRetries": 4, "ordered": ordered, "retentionS": 90.0, "callback": callback,
		"scheduleTargetMs": 1000,
	}
}

// service returns a service as the pages show it.
func service(name string, rate float64) map[string]any {
	return map[string]any{
		"name": name, "healthCheck": "/health", "maxConns": 96, "protocol": "h1", "tls": false, "ratePerS": rate, "dedup": false, "pull": false,
		"staticEndpoint": nil,
	}
}
