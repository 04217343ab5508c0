package client_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocklift/client"
)

const (
	// hostMemory is the memory of a small host in bytes, and heapLimit the part
	// it to which a node limits its heap.
	hostMemory = 184 << 20
	heapLimit  = hostMemory * 7 / 10
	// parallel is the number of requests that a target runs at once.
	parallel = 12
)

// peakHeap returns the largest heap while a function runs, in bytes.
func peakHeap(f func()) uint64 {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(heapLimit))
	runtime.GC()
	var peak atomic.Uint64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return peak.Load()
}

// endless serves a target that answers each request with a text and then with
// another one until the connection is closed.
func endless(t *testing.T, first, next string) *client.Pool {
	t.Helper()
	rest := []byte(strings.Repeat(next, 1+(64<<10)/len(next)))
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		write(c, strings.ReplaceAll(first, "ID", id))
		for {
			if _, err := c.Write(rest); err != nil {
				return
			}
		}
	})
}

// Guards against a target whose answers do not end, and which takes the memory of
// the host with them.
func TestEndlessAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n"
	for name, text := range map[string][2]string{
		"status line":              {"HTTP/1.1 200 ", "x"},
		"header line":              {head + "A: ", "x"},
		"header lines":             {head, "A: b\r\n"},
		"interim answers":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without a length":    {head + "\r\n", "x"},
		"body in chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"chunk extension":          {head + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":                  {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"body with a false length": {head + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			p := endless(t, text[0], text[1])
			var errs [parallel]error
			peak := peakHeap(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				var group sync.WaitGroup
				for i := range errs {
					group.Go(func() {
						_, errs[i] = p.Do(ctx, &client.Request{Method: http.MethodGet, Path: "/", Host: "h", ID: "a"})
					})
				}
				group.Wait()
			})
			for _, err := range errs {
				if !errors.Is(err, client.ErrUnclear) || errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("error is %v, want an unclear outcome before the deadline", err)
				}
			}
			if limit := uint64(heapLimit); peak > limit {
				t.Errorf("heap grew to %d MiB, want %d MiB at most", peak>>20, limit>>20)
			}
		})
	}
}

// Guards against bodies without end that take the memory from answers that state their
// length.
func TestStatedLengthsBesideEndlessBodies(t *testing.T) {
	const size = 1 << 20
	p := serveWith(t, answerMemory, func(c net.Conn, r *bufio.Reader) {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n" + idHeader + ": " + id + "\r\n"
		if id == "stated" {
			write(c, head+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size))
			return
		}
		write(c, head+"\r\n"+strings.Repeat("x", answerMemory/4))
		_, _ = r.ReadByte() // until the other side closes
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 8)
	for range cap(ended) {
		go func() {
			_, err := p.Do(ctx, &client.Request{Method: http.MethodGet, Path: "/", Host: "h", ID: "endless"})
			ended <- err
		}()
	}
	time.Sleep(200 * time.Millisecond) // until they have taken the memory
	for range 5 {
		if a, err := do(p, "stated"); err != nil || len(a.Body) != size {
			t.Errorf("answer of %d bytes came with %d bytes, %v", size, len(a.Body), err)
		}
	}
	cancel()
	for range cap(ended) {
		if err := <-ended; !errors.Is(err, client.ErrUnclear) {
			t.Errorf("error of an answer that does not end is %v", err)
		}
	}
}

// Guards against bytes that are no answer and count as a lost connection, from which a
// crash of the target is concluded.
func TestMalformedAnswersAreNoLostConnections(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n"
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"no answer":                {"garbage\r\n\r\n", true},
		"headers without a colon":  {head + "garbage\r\n\r\n", true},
		"interim answers only":     {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), true},
		"answer to another":        {strings.Replace(head, "ID", "other", 1) + "Content-Length: 0\r\n\r\n", true},
		"chunk without a length":   {head + "Transfer-Encoding: chunked\r\n\r\ngarbage\r\n", true},
		"trailer that is too long": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", 4096), true},
		"end before the answer":    {"", false},
		"end in the headers":       {head, false},
		"end in the body":          {head + "Content-Length: 9\r\n\r\nx", false},
		"end in a chunk":           {head + "Transfer-Encoding: chunked\r\n\r\n9\r\nx", false},
	} {
		t.Run(name, func(t *testing.T) {
			p := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if id, ok := readRequest(r); ok {
					write(conn, strings.ReplaceAll(c.text, "ID", id))
				}
				_ = conn.Close()
			})
			_, err := do(p, "a")
			if !errors.Is(err, client.ErrUnclear) || errors.Is(err, client.ErrMalformed) != c.want {
				t.Errorf("error is %v, want malformed: %t", err, c.want)
			}
		})
	}
}

// sized serves a target that answers with a body of as many bytes as the ID of the
// request says, with or without a length. To other requests it sends 6 MiB of a
// body and then nothing.
func sized(t *testing.T, withLength bool, memory int64) *client.Pool {
	t.Helper()
	return serveWith(t, memory, func(c net.Conn, r *bufio.Reader) {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n" + idHeader + ": " + id + "\r\n"
		size, err := strconv.Atoi(id)
		if err != nil {
			write(c, head+"\r\n"+strings.Repeat("x", 6<<20))
			_, _ = r.ReadByte() // until the other side closes
			return
		}
		if withLength {
			head += "Content-Length: " + id + "\r\n"
		}
		write(c, head+"\r\n"+strings.Repeat("x", size))
	})
}

func assertLength(t *testing.T, p *client.Pool, size int) {
	t.Helper()
	a, err := do(p, strconv.Itoa(size))
	if err != nil || len(a.Body) != size {
		t.Errorf("answer of %d bytes came with %d bytes, %v", size, len(a.Body), err)
	}
}

// Guards against large answers that are refused although there is memory for them,
// and against memory that is not returned.
func TestLargeAnswers(t *testing.T) {
	for name, withLength := range map[string]bool{"with a length": true, "without a length": false} {
		t.Run(name, func(t *testing.T) {
			p := sized(t, withLength, answerMemory)
			for range 5 {
				for _, size := range []int{0, 1, 600, 64 << 10, 1 << 20, answerMemory / 2} {
					assertLength(t, p, size)
				}
				if _, err := do(p, strconv.Itoa(answerMemory/2+1)); !errors.Is(err, client.ErrTooLarge) {
					t.Errorf("error of an answer over the limit is %v", err)
				}
			}
		})
	}
	t.Run("on a large host", func(t *testing.T) {
		p := sized(t, true, 8*answerMemory)
		assertLength(t, p, 8<<20)
		if _, err := do(p, strconv.Itoa(8<<20+1)); !errors.Is(err, client.ErrTooLarge) {
			t.Errorf("error of an answer that a small host cannot hold is %v", err)
		}
	})
	t.Run("small ones beside large ones", func(t *testing.T) {
		p := sized(t, true, answerMemory)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 4)
		for range cap(ended) {
			go func() {
				_, err := p.Do(ctx, &client.Request{Method: http.MethodGet, Path: "/", Host: "h", ID: "hangs"})
				ended <- err
			}()
		}
		time.Sleep(200 * time.Millisecond) // until they have taken the memory
		assertLength(t, p, 64<<10)
		cancel()
		for range cap(ended) {
			if err := <-ended; !errors.Is(err, client.ErrUnclear) {
				t.Errorf("error of an answer that does not end is %v", err)
			}
		}
		assertLength(t, p, answerMemory/2)
	})
	t.Run("HEAD", func(t *testing.T) {
		p := serve(t, func(c net.Conn, r *bufio.Reader) {
			if id, ok := readRequest(r); ok {
				write(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\nContent-Length: 9000000000\r\n\r\n")
			}
		})
		if _, err := p.Do(context.Background(), &client.Request{Method: http.MethodHead, Path: "/", Host: "h", ID: "a", Header: http.Header{idHeader: {"a"}}}); err != nil {
			t.Error(err)
		}
	})
}
