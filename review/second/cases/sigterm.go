package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"yardwharf/review/second/yard"
)

// Of the case "sigterm".
const (
	edgesInTurn    = 3
	turnGap        = time.Second
	keptOpen       = 240 // connections that clients keep to each dispatcher
	keptStep       = 15 * time.Millisecond
	clientDeadline = 2000 // milliseconds
	lossSlack      = 200 * time.Millisecond
)

// sigterm stops the edge machines in turn while clients send on connections that they keep open. Each request that was
// read whole has to be answered.
func sigterm(record *yard.Record, trouble bool) ([]string, error) {
	d, err := startDeployment(yard.Options{Edges: edgesInTurn, Storages: 3, GraceS: 6, StatusS: 120}, record, map[string]int{"mail": 3, "ledger": 3},
		[]map[string]any{route("plain", "/plain/", "mail", 2000, false, false), route("ordered", "/ordered/", "ledger", 2000, true, false)},
		[]map[string]any{service("mail", 0), service("ledger", 0)})
	if err != nil {
		return nil, err
	}
	defer d.close()
	headers := func(key string) map[string]string {
		given := map[string]string{"X-Deadline-Ms": fmt.Sprint(clientDeadline)}
		if key != "" {
			given["X-Ordering-Key"] = key
		}
		return given
	}
	conns := make([][]*yard.Conn, edgesInTurn)
	for edge := range conns {
		for i := range keptOpen {
			c, err := yard.Dial(d.Front(edge))
			if err != nil {
				return nil, err
			}
			defer c.Close()
			conns[edge] = append(conns[edge], c)
			if a := c.Post(host, "/plain/20", fmt.Sprintf("first-%d-%d", edge, i), "hello", headers(""), 5*time.Second); a.Status != 202 {
				return nil, fmt.Errorf("first message: %d %v", a.Status, a.Err)
			}
		}
	}
	start := time.Now()
	var breaks []string
	var mutex sync.Mutex
	var group sync.WaitGroup
	for edge := range conns {
		began := start.Add(time.Duration(edge) * turnGap)
		group.Go(func() {
			time.Sleep(time.Until(began))
			if trouble {
				restart(d, record, edge)
			}
		})
		for i, c := range conns[edge] {
			group.Go(func() {
				time.Sleep(time.Until(began.Add(time.Duration(i) * keptStep)))
				id := fmt.Sprintf("late-%d-%d", edge, i)
				a := c.Post(host, "/ordered/20", id, "hello", headers(fmt.Sprint("key-", i%20)), 6*time.Second)
				took := a.Got.Sub(a.Sent)
				record.Add("client: %s sent to edge-%d %.3f s after its SIGTERM, answer %d %v after %.3f s", id, edge+1, a.Sent.Sub(began).Seconds(), a.Status, a.Err, took.Seconds())
				if a.Status == 0 && took > lossSlack && took < clientDeadline*time.Millisecond {
					mutex.Lock()
					breaks = append(breaks, fmt.Sprintf("%s sent to edge-%d %.3f s after its SIGTERM, connection ended %.3f s later without an answer",
						id, edge+1, a.Sent.Sub(began).Seconds(), took.Seconds()))
					mutex.Unlock()
				}
			})
		}
	}
	group.Wait()
	return breaks, nil
}

// restart stops the processes of an edge machine, and starts them again after their ends.
func restart(d *deployment, record *yard.Record, edge int) {
	dispatcher, agent := d.Process("dispatcher", edge), d.Process("agent", edge)
	record.Add("platform: SIGTERM to edge-%d", edge+1)
	dispatcher.Signal(syscall.SIGTERM)
	agent.Signal(syscall.SIGTERM)
	began := time.Now()
	dispatcher.Wait(7 * time.Second)
	record.Add("platform: the dispatcher of edge-%d has ended %.3f s after SIGTERM", edge+1, time.Since(began).Seconds())
	_ = dispatcher.Start()
	agent.Wait(time.Until(began.Add(7 * time.Second)))
	_ = agent.Start()
}
