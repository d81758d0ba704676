package http1

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed: the same cases each time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// message is a valid message and its content.
type message struct{ text, content []byte }

func drawMessage(t *rapid.T, first string) message {
	content := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "content")
	var b bytes.Buffer
	b.WriteString(first + "\r\n")
	for i := range rapid.IntRange(0, 5).Draw(t, "fields") {
		fmt.Fprintf(&b, "X-F%d: %s\r\n", i, rapid.StringMatching(`[a-z0-9 ,=]{0,20}`).Draw(t, "value"))
	}
	if rapid.Bool().Draw(t, "length") {
		fmt.Fprintf(&b, "content-LENGTH: %d\r\n\r\n%s", len(content), content)
		return message{b.Bytes(), content}
	}
	b.WriteString("Transfer-Encoding: Chunked\r\n\r\n")
	for left := content; len(left) > 0; {
		n := rapid.IntRange(1, len(left)).Draw(t, "chunk")
		fmt.Fprintf(&b, "%X;ext=1\r\n%s\r\n", n, left[:n])
		left = left[n:]
	}
	b.WriteString("0\r\nTrailer: x\r\n\r\n")
	return message{b.Bytes(), content}
}

// feed reads a message that comes in pieces; it returns the content and what it used.
func feed(text []byte, cuts []int, request bool) (content []byte, used int, err error) {
	var h Head
	var d Body
	parsed := false
	for _, end := range append(cuts, len(text)) {
		if !parsed {
			if request {
				err = h.ParseRequest(text[:end])
				d.Request(&h)
			} else {
				err = h.ParseResponse(text[:end])
				d.Response(&h)
			}
			if errors.Is(err, ErrShort) {
				continue
			}
			if err != nil {
				return nil, 0, err
			}
			parsed, used = true, h.Size
		}
		for used < end && !d.Done() {
			data, n, err := d.Next(text[used:end])
			if err != nil {
				return content, used, err
			}
			if n == 0 {
				break
			}
			content, used = append(content, data...), used+n
		}
	}
	if !parsed || !d.Done() {
		return content, used, ErrShort
	}
	return content, used, nil
}

func TestCutsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := rapid.Bool().Draw(t, "request")
		first := "HTTP/1.1 200 OK"
		if request {
			first = "POST /status-check/7f?x=1 HTTP/1.1"
		}
		m := drawMessage(t, first)
		var cuts []int
		for at := 0; at < len(m.text); {
			at = min(len(m.text), at+rapid.IntRange(1, 40).Draw(t, "cut"))
			cuts = append(cuts, at)
		}
		content, used, err := feed(m.text, cuts, request)
		if err != nil || used != len(m.text) || !bytes.Equal(content, m.content) {
			t.Fatalf("%q: content %q, used %d of %d, error %v", m.text, content, used, len(m.text), err)
		}
		short := rapid.IntRange(0, len(m.text)-1).Draw(t, "short")
		if _, _, err := feed(m.text[:short], nil, request); !errors.Is(err, ErrShort) {
			t.Fatalf("%q: error %v, want ErrShort", m.text[:short], err)
		}
	})
}

func TestGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := rapid.Bool().Draw(t, "request")
		var text []byte
		if rapid.Bool().Draw(t, "spoilt") { // a valid message with some bytes changed
			text = drawMessage(t, "POST /a HTTP/1.1").text
			for range rapid.IntRange(1, 6).Draw(t, "changes") {
				text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		} else {
			text = rapid.SliceOf(rapid.SampledFrom([]byte("\r\n: \x00;0aG,/HTP1."))).Draw(t, "garbage")
		}
		content, used, err := feed(text, nil, request)
		if used > len(text) || len(content) > used {
			t.Fatalf("%q: %d bytes of content, used %d, error %v", text, len(content), used, err)
		}
	})
}

func TestHeads(t *testing.T) {
	long := string(bytes.Repeat([]byte("x"), MaxHead))
	for _, c := range []struct {
		head string
		want error
	}{
		{"GET / HTTP/1.1\r\n\r\n", nil},
		{"\r\nGET / HTTP/1.1\r\n\r\n", nil},
		{"GET / HTTP/1.1\nHost: x\n\n", ErrShort},
		{"GET / HTTP/2.0\r\n\r\n", ErrMalformed},
		{"GET  / HTTP/1.1\r\n\r\n", ErrMalformed},
		{"GET / HTTP/1.1\r\nA b: c\r\n\r\n", ErrMalformed},
		{"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", ErrMalformed},
		{"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", ErrMalformed},
		{"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", ErrMalformed},
		{"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ErrMalformed},
		{"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", ErrMalformed},
		{"GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n", ErrTooLarge},
	} {
		var h Head
		if err := h.ParseRequest([]byte(c.head)); !errors.Is(err, c.want) {
			t.Errorf("%.60q: error %v, want %v", c.head, err, c.want)
		}
	}
	var h Head
	if err := h.ParseRequest([]byte("GET / HTTP/1.1\r\nConnection: x, CLOSE\r\n\r\n")); err != nil || !h.Close {
		t.Errorf("Connection: close is not seen: %v", err)
	}
	if err := h.ParseResponse([]byte("HTTP/1.1 2x0 OK\r\n\r\n")); !errors.Is(err, ErrMalformed) {
		t.Errorf("a status that is no number: error %v", err)
	}
}
