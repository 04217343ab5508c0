package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"burdocklift/platform/stand"
)

const (
	// spoilEvery is the number of answers of which one is spoiled: 2 in 100, the share of the page.
	spoilEvery = 50
	// garbleTime is how long the target spoils answers.
	garbleTime = 5 * time.Second
)

var (
	signature = []byte("X-Response-Signature:")
	// spoiled is the name with one wrong byte.
	spoiled = []byte("X-Response-Signatura:")
)

// spoiler stands between a node and its target and spoils some answers by one wrong byte.
type spoiler struct {
	listener net.Listener
	to       string
	active   *atomic.Bool
	answers  *atomic.Int64
	record   *record
}

func (s *spoiler) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		go s.serve(c)
	}
}

func (s *spoiler) serve(from net.Conn) {
	to, err := net.DialTimeout("tcp", s.to, time.Second)
	if err != nil {
		_ = from.Close() // like a target that is away
		return
	}
	go func() {
		_, _ = io.Copy(to, from) // its end closes both
		_, _ = to.Close(), from.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := to.Read(buf)
		b := buf[:n]
		// The head of an answer of the stand-in comes in one piece.
		if bytes.Contains(b, signature) && s.answers.Add(1)%spoilEvery == 0 && s.active.Load() {
			s.record.note("one byte of an answer is spoiled")
			b = bytes.Replace(b, signature, spoiled, 1)
		}
		if _, werr := from.Write(b); werr != nil || err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// spoiledAnswers has one of two targets spoil some of its answers. The rule is MIXED: a success without
// the target's signature must not reach a client.
func spoiledAnswers(r *run) error {
	var active atomic.Bool
	var answers atomic.Int64
	began := func(*machine, stand.Execution) {}
	for _, dc := range []string{"a", "b"} {
		r.site.spoils = dc == "a" // half of the targets
		m, err := r.site.add(dc, "r", archive, func() time.Duration { return 20 * time.Millisecond }, began, began)
		if err != nil {
			return err
		}
		if !r.site.spoils {
			continue
		}
		s, err := m.spoilBy(&active, &answers)
		if err != nil {
			return err
		}
		defer func() { _ = s.listener.Close() }() // ends the spoiler
	}
	if err := r.site.awaitService("/read/warm"); err != nil {
		return err
	}
	active.Store(r.trouble)
	end := time.Now().Add(garbleTime)
	var clients sync.WaitGroup
	for i, m := range r.site.machines {
		for c := range 4 {
			clients.Go(func() {
				client := &http.Client{Timeout: patience + time.Second}
				defer client.CloseIdleConnections()
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("c%d-%d-%d", i, c, n)
					status, sign, err := m.askSigned(client, id)
					if err == nil && status/100 == 2 && sign == "" {
						r.verdict.breach("MIXED: the client gets %d to %s without X-Response-Signature", status, id)
					}
				}
			})
		}
	}
	clients.Wait()
	return nil
}

// spoilBy puts a spoiler before the target of a machine.
func (m *machine) spoilBy(active *atomic.Bool, answers *atomic.Int64) (*spoiler, error) {
	l, err := net.Listen("tcp", m.at(portSpoiler))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	s := &spoiler{listener: l, to: m.at(portTarget), active: active, answers: answers, record: m.site.record}
	go s.run()
	return s, nil
}

// askSigned sends a lookup and returns the status and the signature of its answer.
func (m *machine) askSigned(client *http.Client, id string) (status int, sign string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+m.at(portCaller)+"/read/x", nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	m.site.record.note("client sends %s to %s: GET /read/x", id, m.name)
	resp, err := client.Do(req)
	if err != nil {
		m.site.record.note("client gets no whole answer to %s: %v", id, err)
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	sign = resp.Header.Get("X-Response-Signature")
	m.site.record.note("client gets %d to %s, signature %q", resp.StatusCode, id, sign)
	return resp.StatusCode, sign, err
}
