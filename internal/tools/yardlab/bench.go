package yardlab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"github.com/spf13/cobra"

	"yardwharf/internal/tools/standin/mgmt"
)

// bench is one measurement: a dispatcher takes a fleet over xDS, then changes of
// one endpoint at a steady rate.
type bench struct {
	binary   string
	hosts    int
	perGroup int // hosts of a cluster
	rate     float64
	length   time.Duration
	delta    bool
}

// figures are what a bench found. Times are from the server's sending to the ACK,
// which the dispatcher gives once its decisions know: the way back is in them.
type figures struct {
	first          time.Duration
	p50, p99, most time.Duration
	changes        int
	cpu, helperCPU time.Duration // a change
	rss, helperRSS int           // kB at the end
}

func benchCommand(out io.Writer) *cobra.Command {
	var b bench
	var sizes []int
	c := &cobra.Command{Use: "bench", Short: "Measure how fast changes of the fleet reach the decisions",
		Long: `Start bin/yardwharf with its helper against a stand-in management server, give it a
fleet, then change one endpoint after another at a steady rate. The sizes are
measured one after the other in both modes, and compared.`,
		Example: "  yardlab xds bench --hosts 100,10000 --rate 100 --length 10s", Args: exactly(0, "no arguments"),
		RunE: func(c *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 1 || n > 100_000 {
					return usageError{fmt.Errorf("--hosts: %d is not from 1 to 100000", n)}
				}
			}
			fmt.Fprintf(out, "%-6s %7s %10s %9s %9s %9s %8s %9s %9s %9s %9s\n", "mode", "hosts", "first list", "p50", "p99", "most",
				"changes", "CPU", "helper", "RSS", "helper")
			for _, b.delta = range []bool{true, false} {
				var all []figures
				for _, b.hosts = range sizes {
					f, err := b.run(c.Context())
					if err != nil {
						return err
					}
					all = append(all, f)
					mode := map[bool]string{true: "delta", false: "sotw"}[b.delta]
					fmt.Fprintf(out, "%-6s %7d %10v %9v %9v %9v %8d %9v %9v %6.1f MB %6.1f MB\n", mode, b.hosts, round(f.first), round(f.p50),
						round(f.p99), round(f.most), f.changes, round(f.cpu), round(f.helperCPU), float64(f.rss)/1024, float64(f.helperRSS)/1024)
				}
				first, last := all[0], all[len(all)-1]
				fmt.Fprintf(out, "       the largest against the smallest: p50 %.2f times, CPU a change %.2f times\n",
					float64(last.p50)/float64(first.p50), float64(last.cpu+last.helperCPU)/float64(first.cpu+first.helperCPU))
			}
			return nil
		}}
	own, _ := os.Executable()
	c.Flags().StringVar(&b.binary, "binary", filepath.Join(filepath.Dir(own), "yardwharf"), "the dispatcher, with yardxds beside it")
	c.Flags().IntSliceVar(&sizes, "hosts", []int{100, 10_000}, "sizes of the fleet")
	c.Flags().IntVar(&b.perGroup, "per-cluster", 100, "hosts of a cluster")
	c.Flags().Float64Var(&b.rate, "rate", 100, "changes a second")
	c.Flags().DurationVar(&b.length, "length", 10*time.Second, "how long changes go on")
	return c
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// fleet is the clusters and endpoints of a bench.
func (b *bench) fleet() (clusters []mgmt.Resource, lists map[string][]mgmt.Endpoint) {
	lists = map[string][]mgmt.Endpoint{}
	for i := range b.hosts {
		name := fmt.Sprintf("c%d", i/b.perGroup)
		if i%b.perGroup == 0 {
			clusters = append(clusters, mgmt.EDS(name, ""))
		}
		lists[name] = append(lists[name], mgmt.Endpoint{Name: fmt.Sprintf("host-%05d", i), Zone: "here", Type: "toy", Weight: 1,
			Address: fmt.Sprintf("127.1.%d.%d", i>>8, i&255), Port: 9000})
	}
	return clusters, lists
}

func (b *bench) run(ctx context.Context) (f figures, err error) {
	s := mgmt.New(nil)
	if err := s.Listen("127.0.0.1:0"); err != nil {
		return f, err
	}
	defer s.Stop()
	dir, err := os.MkdirTemp("", "yardlab")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	cmd, err := b.start(ctx, dir, s.Addr())
	if err != nil {
		return f, err
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()

	clusters, lists := b.fleet()
	var all []mgmt.Resource
	for _, c := range clusters {
		all = append(all, mgmt.Assignment(c.Name, mgmt.Policy{}, lists[c.Name]...))
	}
	if _, _, ok := s.Await(0, 10*time.Second, func(h mgmt.Heard) bool { return h.First }); !ok {
		return f, fmt.Errorf("the dispatcher has not come")
	}
	acked := func(from int) (int, error) {
		_, at, ok := s.Await(from, 20*time.Second, func(h mgmt.Heard) bool { return h.Type == mgmt.Assignments && h.Nonce != "" && !h.First })
		if !ok {
			return 0, fmt.Errorf("an update was not answered")
		}
		if e := s.Heard()[at].Error; e != "" {
			return 0, fmt.Errorf("an update was refused: %s", e)
		}
		return at + 1, nil
	}
	began := time.Now()
	s.Put(mgmt.Assignments, "1", all...)
	s.Put(mgmt.Clusters, "1", clusters...)
	at, err := acked(0)
	if err != nil {
		return f, err
	}
	f.first = time.Since(began)

	helper, err := child(cmd.Process.Pid)
	if err != nil {
		return f, err
	}
	rng, h := rand.New(rand.NewPCG(1, 1)), hdrhistogram.New(1, int64(time.Minute), 3)
	before, helperBefore := cpu(cmd.Process.Pid), cpu(helper)
	start := time.Now()
	for n := 0; time.Since(start) < b.length; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))))
		i := rng.IntN(b.hosts)
		name := fmt.Sprintf("c%d", i/b.perGroup)
		e := &lists[name][i%b.perGroup]
		if e.Health = corev3.HealthStatus_DRAINING; rng.IntN(2) == 0 {
			e.Health = corev3.HealthStatus_HEALTHY
		}
		e.Weight = uint32(n + 2) // each change is one
		sent := time.Now()
		s.Change(mgmt.Assignments, strconv.Itoa(n+2), []mgmt.Resource{mgmt.Assignment(name, mgmt.Policy{}, lists[name]...)}, nil)
		if at, err = acked(at); err != nil {
			return f, err
		}
		if err := h.RecordValue(int64(time.Since(sent))); err != nil {
			return f, err
		}
	}
	f.changes = int(h.TotalCount())
	f.p50, f.p99, f.most = time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99)), time.Duration(h.Max())
	own, other := cpu(cmd.Process.Pid)-before, cpu(helper)-helperBefore
	each := func(seconds float64) time.Duration {
		return time.Duration(seconds / float64(f.changes) * float64(time.Second))
	}
	f.cpu, f.helperCPU = each(own), each(other)
	f.rss, f.helperRSS = rss(cmd.Process.Pid), rss(helper)
	return f, nil
}

// start starts the dispatcher with a small site.
func (b *bench) start(ctx context.Context, dir, server string) (*exec.Cmd, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listen := l.Addr().String()
	l.Close()
	config := map[string]any{"name": "bench", "listen": listen, "discovery": "127.0.0.1:1", "limits": map[string]any{"memory_mb": 512, "sockets": 512},
		"settings": map[string]any{"Areas": []string{"here"}, "Shapes": []string{"toy"}, "Balancers": 1, "Index": 0, "MyZone": 0, "Discovery": "subscribe",
			"Classes": []any{map[string]any{"Name": "status-check", "Aim": 60, "Deadline": 5000, "Effect": "pure", "Points": 5}},
			"Limits":  map[string]any{"TryLimit": 5, "MaxRetryAfter": 2000},
			"Rules":   map[string]any{"DrainGrace": 500, "MustAskIn": 10000, "OverloadFactor": 4, "OverloadFor": 2000, "StartCapacity": 0.13, "WarmUp": 24000}}}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.star")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	mode := map[bool]string{true: "delta", false: "sotw"}[b.delta]
	script := fmt.Sprintf("inventory(xds(%q, node = node(id = \"bench\"), mode = %q))\n", server, mode)
	if err := os.WriteFile(operator, []byte(script), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, b.binary, "run", "--operator", operator, "--log-level", "error")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the dispatcher: %w", err)
	}
	return cmd, nil
}

// child is the first child of a process.
func child(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", pid, pid))
	if err != nil || len(bytes.Fields(text)) == 0 {
		entries, _ := filepath.Glob("/proc/[0-9]*/stat")
		for _, e := range entries { // kernels without that file, or a child of another thread
			text, _ := os.ReadFile(e)
			_, rest, _ := strings.Cut(string(text), ") ")
			if f := strings.Fields(rest); len(f) > 1 && f[1] == strconv.Itoa(pid) {
				return strconv.Atoi(filepath.Base(filepath.Dir(e)))
			}
		}
		return 0, fmt.Errorf("the dispatcher has no helper")
	}
	return strconv.Atoi(string(bytes.Fields(text)[0]))
}

// cpu is the CPU time that a process has taken, in seconds: utime and stime of
// proc_pid_stat(5), in ticks of 10 ms.
func cpu(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}

// rss is the resident memory of a process, in kB.
func rss(pid int) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
