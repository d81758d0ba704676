package main

import (
	"fmt"
	"sync"
	"time"

	"yardwharf/review/second/yard"
)

// Of the case "limits".
const (
	firstHeaderTimeout = 3000 // milliseconds
	laterHeaderTimeout = 9000
	headTakes          = 5 * time.Second
	applyTime          = 3 * time.Second // configApplyMs
)

// limits has the operator raise a time-out of clients' connections. A client whose head takes longer than the old one, and less
// than the new one, has to be served once configApplyMs have passed since the acknowledgement.
func limits(record *yard.Record, trouble bool) ([]string, error) {
	routes := []map[string]any{route("plain", "/plain/", "mail", 2000, false, false)}
	services := []map[string]any{service("mail", 0)}
	given := yard.Limits()
	given["headerTimeoutMs"] = firstHeaderTimeout
	if !trouble {
		given["headerTimeoutMs"] = laterHeaderTimeout
	}
	d, err := startDeploymentWith(yard.Options{Edges: 3, Storages: 3, GraceS: 6, StatusS: 120}, record, map[string]int{"mail": 3}, routes, services, given)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if trouble {
		given["headerTimeoutMs"] = laterHeaderTimeout
		if err := d.ConfigureLimits(1, 2, routes, services, given); err != nil {
			return nil, err
		}
	}
	time.Sleep(applyTime + time.Second)
	var breaks []string
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range 9 {
		group.Go(func() {
			id, opened := fmt.Sprint("slow-", i), time.Now()
			a := yard.Once(d.Front(i%3), func(c *yard.Conn) yard.Answer {
				return c.PostSlowly(host, "/plain/20", id, "hello", map[string]string{"X-Deadline-Ms": "2000"}, headTakes, 15*time.Second)
			})
			record.Add("client: %s to edge-%d, head sent over %v, answer %d %v, %.3f s after the connection was opened",
				id, i%3+1, headTakes, a.Status, a.Err, a.Got.Sub(opened).Seconds())
			if a.Status != 202 {
				mutex.Lock()
				breaks = append(breaks, fmt.Sprintf("%s to edge-%d: the connection ended %.3f s after it was opened, answer %d: headerTimeoutMs %d is in force for more than configApplyMs",
					id, i%3+1, a.Got.Sub(opened).Seconds(), a.Status, laterHeaderTimeout))
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return breaks, nil
}
