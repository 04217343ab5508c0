// Package wire transports control messages between nodes: small messages as UDP
// datagrams, larger ones and calls with a response as JSON-RPC 2.0 over TCP on the
// same port number.
package wire

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"

	"burdocklift/proto"
)

// maxDatagramBytes is the size of the largest message sent over UDP. It fits into one
// Ethernet frame, so that datagrams are not fragmented.
const maxDatagramBytes = 1200

// datagramHeaderBytes is the size of the IPv4 and UDP headers, counted as control traffic.
const datagramHeaderBytes = 28

const (
	// maxClients bounds the open TCP connections to other nodes.
	maxClients = 64
	// maxQueuedMessages bounds the large messages queued for one node. A node that
	// starts fetches all records at once, about 170 in a large fleet.
	maxQueuedMessages = 512
	// dialTimeout bounds an attempt to connect to a node.
	dialTimeout = 2 * time.Second
	// callTimeout bounds a call or the delivery of a large message, unless its
	// deadline is earlier.
	callTimeout = 5 * time.Second
	// senderIdleTimeout is the time without messages after which the sender of large
	// messages to a node ends.
	senderIdleTimeout = 30 * time.Second
)

// addressPrefix marks a host name that is itself a control address.
const addressPrefix = "@"

// Errors that callers test with errors.Is.
var (
	ErrNoAddress = errors.New("control address of the host is not known")
	ErrClosed    = errors.New("transport is closed")
	ErrQueueFull = errors.New("message queue of the host is full")
)

// Inbound is a received control message.
type Inbound struct {
	From    proto.HostID
	To      proto.HostID
	Message proto.Message
}

// deliverParams holds the parameters of the deliver method, which carries one large
// message.
type deliverParams struct {
	Data []byte `json:"data"`
}

// Transport sends and receives control messages for one node.
type Transport struct {
	udp      *net.UDPConn
	tcp      net.Listener
	inbound  chan Inbound
	methods  handler.Map
	sent     atomic.Int64
	received atomic.Int64
	dropped  atomic.Int64

	mu      sync.Mutex
	clients map[string]*jrpc2.Client
	peers   map[string]peer // by host name
	queues  map[string]chan []byte
	conns   map[net.Conn]struct{}
	closed  bool
	senders sync.WaitGroup

	ctx  context.Context // ends when the transport closes
	stop context.CancelFunc
}

// peer is the control address of a host's latest known incarnation.
type peer struct {
	incarnation uint64
	address     string
}

// Listen listens for UDP and TCP on a control address, which is an IP address and
// port. Port 0 selects a free TCP port and the same port number for UDP.
func Listen(address string) (*Transport, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on TCP control address %s: %w", address, err)
	}
	port := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: port.IP, Port: port.Port})
	if err != nil {
		_ = tcp.Close()
		return nil, fmt.Errorf("listen on UDP control address %s: %w", address, err)
	}
	t := &Transport{
		udp: udp, tcp: tcp,
		inbound: make(chan Inbound, 1024),
		clients: make(map[string]*jrpc2.Client),
		peers:   make(map[string]peer),
		queues:  make(map[string]chan []byte),
		conns:   make(map[net.Conn]struct{}),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.methods = handler.Map{"deliver": handler.New(t.handleDeliver)}
	return t, nil
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.tcp.Addr().String() }

// Inbound returns the channel of received messages.
func (t *Transport) Inbound() <-chan Inbound { return t.inbound }

// Handle registers a method that other nodes can call. It must be called before Run.
func (t *Transport) Handle(method string, fn jrpc2.Handler) { t.methods[method] = fn }

// Bytes returns the bytes of control traffic sent and received, including headers.
func (t *Transport) Bytes() (sent, received int64) { return t.sent.Load(), t.received.Load() }

// Dropped returns the number of messages that this transport dropped: received
// messages that were invalid or did not fit into the queue, and large messages that
// could not be sent.
func (t *Transport) Dropped() int64 { return t.dropped.Load() }

// SetPeer sets the control address of a host. The address of an earlier incarnation
// does not replace that of a later one.
func (t *Transport) SetPeer(id proto.HostID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id.Incarnation >= t.peers[id.Name].incarnation {
		t.peers[id.Name] = peer{incarnation: id.Incarnation, address: address}
	}
}

// RetainPeers removes the addresses of all hosts for whose name keep returns false.
func (t *Transport) RetainPeers(keep func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.peers, func(name string, _ peer) bool { return !keep(name) })
}

// addressOf returns the control address of a host. A name that begins with "@" is
// followed by the address itself.
func (t *Transport) addressOf(name string) (string, error) {
	if address, ok := strings.CutPrefix(name, addressPrefix); ok {
		return address, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return "", ErrClosed
	}
	p, ok := t.peers[name]
	if !ok {
		return "", ErrNoAddress
	}
	return p.address, nil
}

// Run receives messages and serves calls until the context ends.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.Close() })
	defer stop()
	var tasks sync.WaitGroup
	defer t.senders.Wait()
	defer tasks.Wait()
	ended := make(chan error, 2)
	tasks.Go(func() { ended <- t.readUDP(ctx) })
	tasks.Go(func() { ended <- t.serveTCP(ctx, &tasks) })
	err := <-ended
	_ = t.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Close closes the transport and its connections. Run calls it when it returns.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	clients, conns := t.clients, t.conns
	t.clients, t.conns = nil, nil
	t.mu.Unlock()
	t.stop()
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	for _, c := range clients {
		_ = c.Close()
	}
	for c := range conns {
		_ = c.Close()
	}
	return err
}

func (t *Transport) readUDP(ctx context.Context) error {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := t.udp.ReadFromUDP(buf)
		if err != nil {
			return fmt.Errorf("read control datagram: %w", err)
		}
		t.received.Add(int64(n + datagramHeaderBytes))
		t.enqueueInbound(ctx, buf[:n])
	}
}

// enqueueInbound decodes a received message and queues it. Messages that do not fit
// into the queue are dropped, as the control protocol repeats those that matter.
func (t *Transport) enqueueInbound(ctx context.Context, b []byte) {
	from, to, m, err := proto.Decode(b)
	if err != nil {
		t.dropped.Add(1)
		return
	}
	select {
	case t.inbound <- Inbound{From: from, To: to, Message: m}:
	case <-ctx.Done():
	default:
		t.dropped.Add(1)
	}
}

// serveTCP accepts connections and serves JSON-RPC on each of them.
func (t *Transport) serveTCP(ctx context.Context, tasks *sync.WaitGroup) error {
	for {
		conn, err := t.tcp.Accept()
		if err != nil {
			return fmt.Errorf("accept control connection: %w", err)
		}
		t.mu.Lock()
		if t.closed {
			t.mu.Unlock()
			_ = conn.Close()
			return ErrClosed
		}
		t.conns[conn] = struct{}{}
		t.mu.Unlock()
		tasks.Go(func() {
			server := jrpc2.NewServer(t.methods, &jrpc2.ServerOptions{
				NewContext: func() context.Context { return ctx },
			})
			_ = server.Start(channel.Line(t.countBytes(conn), conn)).Wait()
			t.mu.Lock()
			delete(t.conns, conn)
			t.mu.Unlock()
			_ = conn.Close()
		})
	}
}

// handleDeliver serves the deliver method.
func (t *Transport) handleDeliver(ctx context.Context, p deliverParams) error {
	t.enqueueInbound(ctx, p.Data)
	return nil
}

// Send sends a message without waiting for a response. It never blocks on the
// network. Large messages are queued and sent over TCP, in order for each host.
func (t *Transport) Send(from, to proto.HostID, m proto.Message) error {
	address, err := t.addressOf(to.Name)
	if err != nil {
		return fmt.Errorf("send %T to %s: %w", m, to, err)
	}
	b, err := proto.Encode(from, to, m)
	if err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	if len(b) > maxDatagramBytes {
		if err := t.enqueue(address, b); err != nil {
			t.dropped.Add(1)
			return fmt.Errorf("send %T to %s: %w", m, to, err)
		}
		return nil
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	n, err := t.udp.WriteToUDPAddrPort(b, addr)
	if err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	t.sent.Add(int64(n + datagramHeaderBytes))
	return nil
}
