// Command try is a first try in one command: it builds the dispatcher and the toy server,
// starts both, sends a message and shows the answer.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

func main() {
	if err := try(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "try:", err)
		os.Exit(1)
	}
}

func try(out io.Writer) error {
	if text, err := exec.Command("go", "build", "-o", "bin/", "./cmd/yardwharf", "./example/toyserver").CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, text)
	}
	for _, c := range []*exec.Cmd{exec.Command("bin/toyserver"), exec.Command("bin/yardwharf")} {
		c.Env = append(os.Environ(), "PROXY_CONFIG=example/config.json")
		c.Stderr = os.Stderr
		if err := c.Start(); err != nil {
			return err
		}
		defer c.Wait()
		defer c.Process.Kill()
	}
	const site = "http://127.0.0.1:8080"
	for n := 0; ; n++ {
		if a, err := http.Get(site + "/ready"); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				break
			}
		}
		if n == 100 {
			return fmt.Errorf("no dispatcher is ready at %s after 10 s: is the address in use?", site)
		}
		time.Sleep(100 * time.Millisecond)
	}
	q, err := http.NewRequest("POST", site+"/status-check/ana", strings.NewReader("hello"))
	if err != nil {
		return err
	}
	q.Header.Set("X-Txn", "1")
	q.Header.Set("X-Remaining", "2")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %s", a.Status, text)
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("the answer is not 200")
	}
	return nil
}
