package agent

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"burdocklift/budget"
	"burdocklift/clock"
	"burdocklift/peer"
)

// failingListener fails as at the end of descriptors before it accepts.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a listener that ends for lack of descriptors, and against one that does not
// tell.
func TestAcceptWithoutDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	told := 0
	l := &limitedListener{
		Listener: &failingListener{inner, 2}, clock: clock.New(), max: 1, perClient: 1,
		refused: func(err error) {
			if errors.Is(err, syscall.EMFILE) {
				told++
			}
		},
	}
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if told != 2 {
		t.Errorf("told %d times of the lack, want 2", told)
	}
	if err := accepted.Close(); err != nil {
		t.Error(err)
	}
	if open, _ := l.load(); open != 0 {
		t.Errorf("%d connections are counted after the end", open)
	}
}

// Guards against connections that stand still and keep others out, and against closing one
// whose request arrives, runs, or moves.
func TestConnectionGivesWay(t *testing.T) {
	for _, test := range []struct {
		name  string
		phase connPhase
		still time.Duration
		goes  bool
	}{
		{"new", awaitsRequest, 0, false},
		{"without a request", awaitsRequest, headStall, true},
		{"body moves", readsBody, bodyStall / 2, false},
		{"body stands still", readsBody, bodyStall, true},
		{"runs", runsRequest, time.Hour, false},
		{"answer is read slowly", writesAnswer, bodyStall, false},
		{"answer stands still", writesAnswer, answerStall, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				account := budget.New(1<<20, clock.NewBubble())
				l := &limitedListener{
					Listener: &net.TCPListener{}, clock: clock.NewBubble(), account: account,
					conns: make(map[*limitedConn]struct{}), clients: make(map[netip.Addr]int), max: 2, perClient: 1,
				}
				c := &limitedConn{TCPConn: &net.TCPConn{}, listener: l, hold: account.Open()}
				c.hold.Force(connBytes)
				l.conns[c] = struct{}{}
				c.enter(test.phase)
				time.Sleep(test.still)
				goes := l.dropIdlest(func(*limitedConn) bool { return true })
				if goes != test.goes || c.enter(test.phase) == test.goes {
					t.Errorf("gives way: %v, want %v", goes, test.goes)
				}
				if open, _ := l.load(); test.goes && (open != 0 || account.Usage().Used != 0) {
					t.Errorf("%d connections and %d bytes are still counted", open, account.Usage().Used)
				}
			})
		})
	}
}

// Guards against connections of one address beyond its bound.
func TestConnectionsOfOneClient(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan error, 1)
	l := &limitedListener{
		Listener: inner, clock: clock.New(), max: 4, perClient: 1,
		refused: func(err error) { refused <- err },
	}
	s := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends with Close
	defer func() { _ = s.Close() }()
	for range 2 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "GET"); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-refused; !errors.Is(err, peer.ErrConnections) {
		t.Errorf("the second connection was refused with %v", err)
	}
}
