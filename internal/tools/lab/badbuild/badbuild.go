// Package badbuild makes builds of the dispatcher that are bad on purpose, for the laboratory:
// a program that starts the good one and spoils it.
package badbuild

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Faults are what a bad build does.
var Faults = map[string]string{
	"good":        "nothing bad",
	"crash-start": "ends before it serves",
	"crash":       "crashes after 3 s",
	"never-ready": "starts, and is never ready",
	"stuck":       "does not heed SIGTERM",
	"refuse":      "has no time for a fifth of the messages",
	"one-class":   "has no time for half of the class book",
	"bursts":      "has no time for any message in 1 s of each 8",
}

const (
	crashAfter = 3 * time.Second
	bodyMost   = 1 << 20
	noTime     = "0.002" // s
)

// Script writes a program that is a bad build of binary; own is the program with Run.
func Script(path, own, fault, binary string) error {
	quoted := func(s string) string { return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'" }
	text := fmt.Sprintf("#!/bin/sh\nexec %s bad %s %s \"$@\"\n", quoted(own), quoted(fault), quoted(binary))
	return os.WriteFile(path, []byte(text), 0o700)
}

// Run is a bad build: it runs until the good one that it has started ends.
func Run(fault, binary string, args []string) error {
	if _, known := Faults[fault]; !known {
		return fmt.Errorf("no fault %q", fault)
	}
	runtime.LockOSThread() // the parent-death signal of the child goes by this thread
	if fault == "crash-start" {
		return errors.New("a crash at the start")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if fault == "never-ready" {
		<-ctx.Done()
		return nil
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	file, err := inner.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	cmd.ExtraFiles = []*os.File{file} // number 3, as PROXY_FD says already
	outer, err := net.FileListener(os.NewFile(3, "clients"))
	if err != nil {
		return fmt.Errorf("descriptor 3: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	server := &http.Server{Handler: spoiled(fault, inner.Addr().String())}
	inner.Close()
	go func() { // the good one says when it is ready; until then clients are the old one's
		for !ready() && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		server.Serve(outer)
	}()
	if fault == "crash" {
		go func() {
			for !ready() {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(crashAfter)
			cmd.Process.Kill()
		}()
	}
	go func() {
		<-ctx.Done()
		if fault == "stuck" {
			return
		}
		// It leaves as the good one does: nothing new, and what is there gets its answer.
		closing, stop := context.WithTimeout(context.Background(), 4*time.Second)
		defer stop()
		server.Shutdown(closing)
		cmd.Process.Signal(syscall.SIGTERM)
	}()
	return cmd.Wait()
}

// ready asks at the door of the good one.
func ready() bool {
	a, err := http.Get("http://" + os.Getenv("PROXY_ADMIN") + "/ops/readiness")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// spoiled passes messages on, some of them with no time left: the good one counts what comes
// of them as it would its own fault.
func spoiled(fault, to string) http.Handler {
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		q.Body = http.MaxBytesReader(w, q.Body, bodyMost)
		spoil := false
		switch fault {
		case "refuse":
			spoil = rand.IntN(5) == 0
		case "one-class":
			spoil = strings.HasPrefix(q.URL.Path, "/book/") && rand.IntN(2) == 0
		case "bursts":
			spoil = time.Now().Unix()%8 == 0
		}
		if spoil && q.Method == http.MethodPost {
			q.Header.Set("X-Remaining", noTime)
		}
		p.ServeHTTP(w, q)
	})
}
