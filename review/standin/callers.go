package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// patience is how long callers wait for an answer, as they say in the request.
const patience = 10 * time.Second

// Connection is a connection of a caller to the node of its machine, which is kept for
// further requests.
type Connection struct {
	net.Conn
	reader   *bufio.Reader
	answered int // requests that were answered on it
}

// Callers are the callers of one machine. They use kept connections where one is free.
type Callers struct {
	machine *Machine
	mu      sync.Mutex
	idle    []*Connection
}

func (c *Callers) take() (*Connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle) - 1; n >= 0 {
		conn := c.idle[n]
		c.idle = c.idle[:n]
		return conn, nil
	}
	raw, err := net.DialTimeout("tcp", c.machine.at(portCaller), time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// Answer is how a request ended at its caller.
type Answer struct {
	Status int
	Kept   bool // the connection had carried a request before
	Sent   bool // the whole request was sent
}

// Call sends a request and returns its answer, or an error if its connection ended
// without one.
func (c *Callers) Call(method, path, id string, body []byte) (Answer, error) {
	conn, err := c.take()
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Kept: conn.answered > 0}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, host, id, patience.Milliseconds(), len(body))
	err = conn.SetDeadline(time.Now().Add(patience + time.Second))
	if err == nil {
		_, err = io.WriteString(conn, head)
	}
	if err == nil {
		_, err = conn.Write(body)
	}
	a.Sent = err == nil
	if err == nil {
		a.Status, err = conn.readAnswer()
	}
	if err != nil {
		return a, errors.Join(err, conn.Close())
	}
	conn.answered++
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
	return a, nil
}

// readAnswer reads a whole answer and returns its status.
func (conn *Connection) readAnswer() (int, error) {
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
