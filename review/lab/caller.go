package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callTimeout is the time limit of a caller.
const callTimeout = 2 * time.Second

// caller is a client with a kept connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
	header string // sent with each request, empty for none
}

// dialCaller returns nil if the node does not accept the connection.
func dialCaller(address string) *caller {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}
}

// close returns nil, as the connection is not used any more.
func (c *caller) close() *caller {
	_ = c.conn.Close() // nothing is under way on it
	return nil
}

// post sends a request that may run once, and reads the whole answer.
func (c *caller) post(path, id string, key int) (*http.Response, []byte, error) {
	if err := c.send("POST", path, id, key, callTimeout); err != nil {
		return nil, nil, err
	}
	return c.read(callTimeout + time.Second)
}

// send sends a request without a body.
func (c *caller) send(method, path, id string, key int, limit time.Duration) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	more := ""
	if c.header != "" {
		more = c.header + "\r\n"
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Shard-Key: %d\r\n%s\r\n",
		method, path, host, id, limit.Milliseconds(), key, more)
	return err
}

// read reads a whole answer.
func (c *caller) read(limit time.Duration) (*http.Response, []byte, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, nil, err
	}
	if c.reader == nil {
		c.reader = bufio.NewReader(c.conn)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}
