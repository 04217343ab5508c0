package cmds

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/emul"
	"burdocklift/peer"
	"burdocklift/platform"
	"burdocklift/platform/stand"
	"burdocklift/serve"
)

const (
	// crowdMemory is the memory of the node in MiB, which is also the bound on what it takes.
	crowdMemory = 64
	// crowdFiles is the descriptor limit of the node, and crowdOpen the bound on what it opens.
	crowdFiles = 256
	crowdOpen  = crowdFiles * 3 / 4
	// crowdBody is the legal size of a body in bytes.
	crowdBody = 4 << 20
	// crowdTime is how long the clients go on.
	crowdTime = 3 * time.Second
	// crowdHead is the size in bytes of a head over the limit of the rules.
	crowdHead = 900 << 10
	// crowdAnswer is the size in bytes of an answer that is read slowly.
	crowdAnswer = 1 << 20
)

// crowd is one kind of clients, each of which connects anew whenever its play ends.
type crowd struct {
	name    string
	clients int
	peers   bool // connects to the address for other nodes
	large   bool // the target sends large answers
	play    func(ctx context.Context, c net.Conn, i int) error
}

// crowds lists the kinds of clients that were seen.
func crowds() []crowd {
	return []crowd{
		{name: "endless_head", clients: 144, play: sendEndlessHead},
		{name: "head_over_the_limit", clients: 144, play: sendLargeHead},
		{name: "endless_empty_lines", clients: 64, play: func(_ context.Context, c net.Conn, _ int) error {
			return writeEndless(c, "", "\r\n")
		}},
		{name: "whole_bodies", clients: 48, play: sendWholeBody},
		{name: "bodies_stop_short", clients: 48, play: sendShortBody},
		{name: "large_chunks", clients: 48, play: func(ctx context.Context, c net.Conn, i int) error {
			return sendChunks(ctx, c, 256<<10, crowdBody, i%8 == 0)
		}},
		{name: "small_chunks", clients: 48, play: func(ctx context.Context, c net.Conn, i int) error {
			return sendChunks(ctx, c, 16, crowdBody, i%8 == 0)
		}},
		{name: "large_chunks_stop_short", clients: 48, play: func(ctx context.Context, c net.Conn, _ int) error {
			return sendChunks(ctx, c, 256<<10, crowdBody-1, false)
		}},
		{name: "slow_readers", clients: 96, large: true, play: readSlowly},
		{name: "idle_connections", clients: 400, play: stay},
		{name: "idle_connections_of_peers", clients: 400, peers: true, play: stay},
		{name: "frames_stop_short", clients: 6, peers: true, play: sendShortFrame},
		{name: "peers_that_never_read", clients: 6, peers: true, large: true, play: sendCallsUnread},
	}
}

// stay keeps a connection open until the other side closes it or the context ends.
func stay(ctx context.Context, c net.Conn, _ int) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetReadDeadline(deadline); err != nil {
			return err
		}
	}
	_, err := io.Copy(io.Discard, c)
	return err
}

func writeEndless(c net.Conn, first, next string) error {
	if _, err := io.WriteString(c, first); err != nil {
		return err
	}
	rest := strings.Repeat(next, 1+(16<<10)/len(next))
	for {
		if _, err := io.WriteString(c, rest); err != nil {
			return err
		}
	}
}

func sendEndlessHead(_ context.Context, c net.Conn, i int) error {
	next := "x"
	if i%2 == 0 {
		next = "X-Header: value\r\n"
	}
	return writeEndless(c, "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: ", next)
}

func sendLargeHead(ctx context.Context, c net.Conn, i int) error {
	_, err := fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: head-%d-%d\r\nX-Long: %s\r\n\r\n",
		i, time.Now().UnixNano(), strings.Repeat("x", crowdHead))
	if err != nil {
		return err
	}
	return stay(ctx, c, i)
}

func postHead(i int, framing string) string {
	return fmt.Sprintf("POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: post-%d-%d\r\nX-Deadline-Ms: 2000\r\n%s\r\n\r\n",
		i, time.Now().UnixNano(), framing)
}

func sendWholeBody(ctx context.Context, c net.Conn, i int) error {
	head := postHead(i, fmt.Sprintf("Connection: close\r\nContent-Length: %d", crowdBody))
	if _, err := io.WriteString(c, head+strings.Repeat("x", crowdBody)); err != nil {
		return err
	}
	return stay(ctx, c, i)
}

func sendShortBody(ctx context.Context, c net.Conn, i int) error {
	if _, err := io.WriteString(c, postHead(i, fmt.Sprintf("Content-Length: %d", crowdBody))); err != nil {
		return err
	}
	body := strings.Repeat("x", crowdBody-1)
	for len(body) > 0 {
		n := min(len(body), 64<<10)
		if _, err := io.WriteString(c, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return stay(ctx, c, i)
}

// sendChunks sends a body in chunks, and its end if it is whole.
func sendChunks(ctx context.Context, c net.Conn, chunk, size int, whole bool) error {
	if _, err := io.WriteString(c, postHead(size, "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	batch := max(1, (64<<10)/chunk)
	for sent := 0; sent+batch*chunk <= size; sent += batch * chunk {
		if _, err := io.WriteString(c, strings.Repeat(one, batch)); err != nil {
			return err
		}
	}
	if whole {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return err
		}
	}
	return stay(ctx, c, 0)
}

func readSlowly(ctx context.Context, c net.Conn, i int) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetReadBuffer(4 << 10); err != nil {
			return err
		}
	}
	r := stand.Request{
		Method: "POST", Host: "h.example", Path: fmt.Sprint("/pay/", crowdAnswer),
		ID: fmt.Sprint("slow-", i, "-", time.Now().UnixNano()), Key: -1, Timeout: 2 * time.Second,
	}
	if _, err := io.WriteString(c, r.Text()); err != nil {
		return err
	}
	var status [len("HTTP/1.1 200")]byte
	if _, err := io.ReadFull(c, status[:]); err != nil || string(status[:]) != "HTTP/1.1 200" {
		return fmt.Errorf("answer begins with %q: %w", status, err)
	}
	var one [1]byte
	for ctx.Err() == nil {
		if _, err := c.Read(one[:]); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// callFrame is the beginning of a frame with a call that claims a length.
func callFrame(method peer.Method, stream uint64, length int) []byte {
	b := []byte{1, byte(method)}
	b = binary.AppendUvarint(b, stream)
	return binary.AppendUvarint(b, uint64(length))
}

func sendShortFrame(ctx context.Context, c net.Conn, i int) error {
	const size = 40 << 20
	if _, err := c.Write(callFrame(serve.MethodServe, 1, size)); err != nil {
		return err
	}
	piece := make([]byte, 64<<10)
	for sent := 0; sent+len(piece) < size; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return stay(ctx, c, i)
}

// sendCallsUnread sends calls without end and reads no reply.
func sendCallsUnread(_ context.Context, c net.Conn, i int) error {
	for stream := uint64(1); ; stream++ {
		call, err := cbor.Marshal([]any{
			fmt.Sprint("peer-", i, "-", stream, "-", time.Now().UnixNano()), "POST", "h.example", fmt.Sprint("/pay/", crowdAnswer),
			http.Header{},
			make([]byte, 32<<10), -1, "desk", "archive", "r-1", 1, false, (2 * time.Second).Microseconds(), 0, 0,
		})
		if err != nil {
			return err
		}
		if _, err := c.Write(append(callFrame(serve.MethodServe, stream, len(call)), call...)); err != nil {
			return err
		}
	}
}

// run lets the clients go on for crowdTime.
func (k crowd) run(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, crowdTime)
	defer cancel()
	var group sync.WaitGroup
	for i := range k.clients {
		group.Go(func() {
			for ctx.Err() == nil {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends the play
				_ = k.play(ctx, c, i)                                    // the node may close the connection at any time
				stop()
				_ = c.Close() // nothing more is sent on it
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// crowdRules are rules with a limit on bodies of crowdBody.
func crowdRules(t *testing.T, body int) []byte {
	t.Helper()
	var rules map[string]any
	err := json.Unmarshal(stand.Rules(1, "h.example", "none", []stand.Route{
		{Prefix: "/read/", Service: "archive", Idempotent: true}, {Prefix: "/pay/", Service: "archive"},
	}), &rules)
	if err != nil {
		t.Fatal(err)
	}
	rules["limits"].(map[string]any)["maxBodyBytes"] = body
	b, err := json.Marshal(rules)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// startRules starts the platform's store with rules and returns its address.
func startRules(t *testing.T, rules []byte) string {
	t.Helper()
	ledger := emul.NewLedger(time.Millisecond)
	t.Cleanup(ledger.Close)
	ledger.Put(platform.RulesKey, rules)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: stand.Store(ledger.Client("test")), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// buildProgram builds the program, whose memory the test binary would not show, as it may
// detect races and holds more packages.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "burdocklift")
	if out, err := exec.Command("go", "build", "-o", program, "burdocklift").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	return program
}

// limitedAgent is a node with lowered limits.
type limitedAgent struct {
	*agentProcess
	ended chan struct{}
}

// startLimited starts a node with a memory in MiB.
func startLimited(t *testing.T, program string, a *agentProcess, memory int) *limitedAgent {
	t.Helper()
	text, err := os.ReadFile(a.file)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), fmt.Sprint("memory = ", agentMemory), fmt.Sprint("memory = ", memory), 1)
	if err := os.WriteFile(a.file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" agent "$1"`, crowdFiles), program, a.file)
	c.Stdout, c.Stderr = t.Output(), t.Output()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	a.process = &process{Cmd: c}
	l := &limitedAgent{agentProcess: a, ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		_ = c.Wait() // the state of the process tells how it ended
	}()
	t.Cleanup(func() {
		_ = c.Process.Kill() // it may have ended
		<-l.ended
	})
	return l
}

// peakFiles returns the most descriptors that a process has open until the context ends.
func peakFiles(ctx context.Context, pid int) int {
	peak := 0
	for ctx.Err() == nil {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			return peak
		}
		peak = max(peak, len(files))
		time.Sleep(10 * time.Millisecond)
	}
	return peak
}

// Guards against a node that ends, exceeds its memory, runs out of descriptors or serves
// nobody any more when clients keep to no limit.
func TestUncontrolledClients(t *testing.T) {
	program := buildProgram(t)
	for _, k := range crowds() {
		t.Run(k.name, func(t *testing.T) { k.check(t, program) })
	}
}

func (k crowd) check(t *testing.T, program string) {
	store := startRules(t, crowdRules(t, crowdBody))
	target := freeAddresses(t, 1)[0]
	address := target
	if k.large {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go stand.EndlessTarget(l)
		address = l.Addr().String()
	}
	a := startLimited(t, program, newAgent(t, "n-0", "archive", address, store), crowdMemory)
	a.startTarget(t, target, func(*stand.Target, stand.Execution) {})
	a.awaitServing(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	var memory, files int
	group.Go(func() { memory = peakMemory(ctx, a.Process.Pid) })
	group.Go(func() { files = peakFiles(ctx, a.Process.Pid) })
	entry := a.caller
	if k.peers {
		entry = a.peers
	}
	k.run(ctx, entry)
	cancel()
	group.Wait()
	t.Logf("peaks of %d MiB and %d descriptors", memory, files)
	select {
	case <-a.ended:
		t.Fatalf("the node ended: %v", a.ProcessState)
	default:
	}
	if memory > crowdMemory {
		t.Errorf("the node took %d MiB, its limit is %d", memory, crowdMemory)
	}
	if files > crowdOpen {
		t.Errorf("the node opened %d descriptors, at most %d of %d wanted", files, crowdOpen, crowdFiles)
	}
	a.awaitServing(t)
}

const (
	// largestBody is the largest body that the rules of a site allow, in bytes, and
	// usualMemory the memory of a node in MiB that serves it.
	largestBody = 64 << 20
	usualMemory = 184
	// largeTime is the time limit of a request with such a body.
	largeTime = time.Minute
)

// Guards against bounds on memory that refuse a single body of legal size, on the node
// beside the target or through another one, and against copies of it that exceed the memory.
func TestLargestBody(t *testing.T) {
	program := buildProgram(t)
	rules := crowdRules(t, largestBody)
	rules = []byte(strings.ReplaceAll(string(rules), `"timeoutS":2`, `"timeoutS":60`))
	store := startRules(t, rules)
	var agents []*limitedAgent
	for i, service := range []string{"desk", "archive"} {
		target := freeAddresses(t, 1)[0]
		a := startLimited(t, program, newAgent(t, fmt.Sprint("n-", i), service, target, store), usualMemory)
		a.startTarget(t, target, func(*stand.Target, stand.Execution) {})
		agents = append(agents, a)
	}
	for _, a := range agents {
		a.awaitServing(t)
	}
	for i, way := range []string{"forwarded", "beside_the_target"} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(way, "/chunked_", chunked), func(t *testing.T) { sendLargest(t, agents, agents[i].caller, chunked) })
		}
	}
}

func sendLargest(t *testing.T, agents []*limitedAgent, address string, chunked bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	peaks := make([]int, len(agents))
	for i, a := range agents {
		group.Go(func() { peaks[i] = peakMemory(ctx, a.Process.Pid) })
	}
	var body io.Reader = strings.NewReader(strings.Repeat("x", largestBody))
	if chunked {
		body = io.MultiReader(body) // of unknown length
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/pay/1", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", fmt.Sprint("largest-", time.Now().UnixNano()))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(largeTime.Milliseconds()))
	resp, err := (&http.Client{Timeout: largeTime}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, %.40q, %v", resp.StatusCode, text, err)
	}
	cancel()
	group.Wait()
	t.Logf("peaks of %v MiB", peaks)
	for i, peak := range peaks {
		if peak > usualMemory {
			t.Errorf("node %d took %d MiB, its limit is %d", i, peak, usualMemory)
		}
	}
}
