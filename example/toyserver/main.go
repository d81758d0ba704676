// Command toyserver plays the surroundings of one dispatcher for a first try:
// discovery on one loopback address and a south side host on another. It takes
// every job, says that it started, and is done a moment later.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	host := flag.String("host", "127.0.0.1:9001", "where the south side host listens")
	work := flag.Duration("work", 100*time.Millisecond, "how long a job runs")
	flag.Parse()

	list := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":"toy-1","address":%q,"zone":"here",`+
		`"type":"toy","group":1,"status":"SERVING","weight":1.0,"since_ms":0}]}`, *host)
	lists := http.NewServeMux()
	lists.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list)
		for r.FormValue("watch") == "1" {
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
			}
		}
	})
	go func() { log.Fatal(http.ListenAndServe(*discovery, lists)) }()

	jobs := http.NewServeMux()
	jobs.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		line := json.NewEncoder(w)
		event := map[string]any{"id": r.Header.Get("X-Txn"), "from": "toy-1", "state": "started"}
		line.Encode(event)
		http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done(): // the dispatcher has given the job up
			log.Printf("%s %s: given up", r.Method, r.URL)
			return
		case <-time.After(*work):
		}
		event["state"], event["result"] = "done", fmt.Sprintf("did %s with %q\n", r.URL, body)
		line.Encode(event)
		log.Printf("%s %s: done", r.Method, r.URL)
	})
	log.Printf("discovery on %s, a south side host on %s", *discovery, *host)
	log.Fatal(http.ListenAndServe(*host, jobs))
}
