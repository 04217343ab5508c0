package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// readerConn is a connection that only reads.
type readerConn struct {
	net.Conn
	io.Reader
}

// Read implements io.Reader.
func (c readerConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// ReadAnswer reads the head of an answer.
func ReadAnswer(r io.Reader, method string) (*http.Response, error) {
	limit := &limitedConn{Conn: readerConn{Reader: r}}
	c := &conn{limit: limit, reader: bufio.NewReader(limit)}
	return c.readHead(method)
}
