package yard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is a client's connection to a dispatcher.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Answer is what a client got for a request.
type Answer struct {
	Status int // 0: the connection ended, or the time passed, without a whole answer
	Body   string
	Close  bool // the connection cannot be used further
	Err    error
	Sent   time.Time // when the last byte was sent
	Got    time.Time
}

// Post sends a message.
func (c *Conn) Post(host, path, id, body string, headers map[string]string, limit time.Duration) Answer {
	return c.exchange(request(http.MethodPost, host, path, id, body, headers), limit)
}

// Get sends a GET.
func (c *Conn) Get(host, path string, limit time.Duration) Answer {
	return c.exchange(request(http.MethodGet, host, path, "", "", nil), limit)
}

func request(method, host, path, id, body string, headers map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	if id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

func (c *Conn) exchange(request string, limit time.Duration) (answer Answer) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	_, err := io.WriteString(c.conn, request)
	answer.Sent = time.Now()
	defer func() { answer.Got = time.Now() }()
	if err != nil {
		answer.Err, answer.Close = err, true
		return answer
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		answer.Err, answer.Close = err, true
		return answer
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		answer.Err, answer.Close = err, true
		return answer
	}
	answer.Status, answer.Body, answer.Close = response.StatusCode, string(body), response.Close
	return answer
}

// Once opens a connection for one exchange.
func Once(address string, exchange func(*Conn) Answer) Answer {
	c, err := Dial(address)
	if err != nil {
		return Answer{Err: err, Sent: time.Now(), Got: time.Now()}
	}
	defer c.Close()
	return exchange(c)
}

// PostSlowly sends a message whose head takes a while.
func (c *Conn) PostSlowly(host, path, id, body string, headers map[string]string, takes, limit time.Duration) Answer {
	whole := request(http.MethodPost, host, path, id, body, headers)
	const parts = 20
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	for i := range parts {
		if _, err := io.WriteString(c.conn, whole[len(whole)*i/(parts+1):len(whole)*(i+1)/(parts+1)]); err != nil {
			return Answer{Err: err, Close: true, Sent: time.Now(), Got: time.Now()}
		}
		time.Sleep(takes / parts)
	}
	return c.exchange(whole[len(whole)*parts/(parts+1):], limit)
}
