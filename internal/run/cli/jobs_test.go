package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yardwharf/internal/doors/jobs"
)

// A stand-in of the API, with three jobs: what the commands ask of it is kept.
func TestJobsCommands(t *testing.T) {
	list := []jobs.Job{{ID: "j1", Class: "status-check", State: "failed", Reason: "lost"},
		{ID: "j2", Class: "send-alert", State: "waiting", Held: true, After: []jobs.Link{{Job: "j1", On: "end"}}},
		{ID: "j3", Class: "send-alert", State: "done", After: []jobs.Link{{Job: "j1"}, {Job: "j2"}}}}
	var asked []string
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		body.ReadFrom(r.Body)
		asked = append(asked, r.Method+" "+r.RequestURI+" "+body.String())
		id := strings.TrimPrefix(strings.Split(r.URL.Path, "/wait")[0], "/v1/jobs/")
		switch {
		case r.Method == "POST" && strings.Contains(body.String(), "refuse"):
			w.Header().Set("Retry-After", "5")
			w.WriteHeader(429)
			json.NewEncoder(w).Encode(jobs.Problem{Title: "There is no room now", Status: 429})
		case r.URL.Path == "/v1/jobs" || strings.HasSuffix(r.URL.Path, "/graph"):
			json.NewEncoder(w).Encode(jobs.Page{Jobs: list, Next: "j3"})
		case id == "j3":
			json.NewEncoder(w).Encode(list[2])
		default:
			json.NewEncoder(w).Encode(list[0])
		}
	}))
	defer api.Close()
	file := filepath.Join(t.TempDir(), "batch.json")
	os.WriteFile(file, []byte(`{"jobs":[{"class":"send-alert"},{"class":"send-alert","after":[{"ref":1}]}]}`), 0o600)
	t.Setenv(serverVariable, strings.TrimPrefix(api.URL, "http://"))
	for _, c := range []struct {
		args   string
		status int
		asks   string // of the API, a part
		out    string
		log    string
	}{
		{"jobs submit --class send-alert --target ana --after j1,j2=end --held", 0, `POST /v1/jobs {"jobs":[{"class":"send-alert","target":"ana","after":[{"job":"j1"},{"job":"j2","on":"end"}],"held":true}]}`, "JOB", ""},
		{"jobs submit --file " + file, 0, `{"class":"send-alert","after":[{"ref":1}]}`, "j1", ""},
		{"jobs submit --class refuse", 1, "POST", "", "There is no room now: ; come back in 5 s"},
		{"jobs submit --class x --not-before noon", 2, "", "", `--not-before: "noon" is no time`},
		{"jobs submit --file " + file + "x", 2, "", "", "no such file"},
		{"jobs list --state waiting --limit 3", 0, "GET /v1/jobs?limit=3&state=waiting", "waiting (held)", "--after j3"},
		{"jobs list -o json", 0, "", `"id": "j2"`, ""},
		{"jobs show j1", 0, "GET /v1/jobs/j1 ", "lost", ""},
		{"jobs wait j3", 0, "/wait?timeout=30s", "done", ""},
		{"jobs wait j1", 1, "/wait?timeout=30s", "lost", "j1 is failed"},
		{"jobs cancel j1 --subtree", 0, "DELETE /v1/jobs/j1?subtree=true", "", ""},
		{"jobs hold j1", 0, "POST /v1/jobs/j1/hold", "", ""},
		{"jobs release j1", 0, "POST /v1/jobs/j1/release", "", ""},
		{"jobs graph j1", 0, "GET /v1/jobs/j1/graph", "j1 status-check failed: lost\n  j2 send-alert waiting\n    j3 send-alert done\n  j3 (see above)\n", ""},
		{"jobs graph j1 --dot", 0, "", "  j1 -> j2 [style=dashed];\n", ""},
		{"jobs show", 2, "", "", "expected one job"},
		{"jobs show j1 -o xml", 2, "", "", "--output: unknown"},
		{"jobs show j1 --server 127.0.0.1:1", 1, "", "", "connection refused"},
	} {
		var out, log bytes.Buffer
		asked = nil
		status := Main(strings.Fields(c.args), &out, &log)
		if status != c.status || !strings.Contains(strings.Join(asked, "\n"), c.asks) || !strings.Contains(out.String(), c.out) ||
			!strings.Contains(log.String(), c.log) || c.log == "" && log.Len() > 0 {
			t.Errorf("yardwharf %s: status %d, want %d; asked %q; printed %q; logged %q", c.args, status, c.status, asked, out.String(), log.String())
		}
	}
}

// Times are read as people write them.
func TestMoment(t *testing.T) {
	now := time.Date(2026, 12, 1, 21, 40, 0, 0, time.UTC)
	for text, want := range map[string]string{
		"22:15": "2026-12-01T22:15:00Z", "20:00": "2026-12-02T20:00:00Z", "90s": "2026-12-01T21:41:30Z",
		"2026-12-03T01:02:03Z": "2026-12-03T01:02:03Z",
	} {
		if got, err := moment("--not-before", text, now); err != nil || got.Format(time.RFC3339) != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
}
