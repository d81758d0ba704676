package hollow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"yardwharf/internal/service/discovery"
	"yardwharf/internal/service/view"
)

// platformResult is what a read of the platform's whole list takes.
type platformResult struct {
	Pages     int
	Time      time.Duration // without any limit of the rate of calls
	Processor time.Duration // of reader and stand-in together
	Failure   string        // empty: the list was read
}

// measurePlatform reads the list of a stand-in for the platform over loopback.
func measurePlatform(ctx context.Context, size Size) (platformResult, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return platformResult{}, Class.Wrap(err)
	}
	server := &http.Server{Handler: platformHandler(destinations(size.Destinations, rand.New(rand.NewPCG(5, 6))))}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	source := discovery.NewSource(listener.Addr().String())
	began, processor := time.Now(), processTime()
	list, err := source.Read(ctx)
	result := platformResult{Pages: list.Pages, Time: time.Since(began), Processor: processTime() - processor}
	if err != nil {
		result.Failure = err.Error()
	}
	return result, nil
}

// platformHandler serves a list in pages, as the platform does.
func platformHandler(list []view.Sender) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
		end := min(start+pageSize, len(list))
		page := discovery.Page{Instances: []discovery.Instance{}}
		for _, sender := range list[min(start, end):end] {
			page.Instances = append(page.Instances, discovery.Instance{
				ID: sender.ID, Service: sender.Service, Address: sender.Address, Zone: sender.Zone,
				Revision: sender.Revision, Slots: sender.Slots, State: "ready",
			})
		}
		if end < len(list) {
			token := strconv.Itoa(end)
			page.NextToken = &token
		}
		_ = json.NewEncoder(w).Encode(page)
	})
}
