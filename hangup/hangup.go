// Package hangup tells an HTTP server whether a caller has closed its connection.
// The context of net/http ends for that as well, but later or not at all: the read
// that notices the close starts together with the handler, and ends at the first
// byte of a further request.
package hangup

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// checkInterval is how often the connection of a request in progress is checked.
const checkInterval = 200 * time.Millisecond

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext stores the connection in the context of its requests. It is meant
// for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if sc, ok := c.(syscall.Conn); ok {
		return context.WithValue(ctx, connKey{}, sc)
	}
	return ctx
}

// Closed reports whether the caller of a request has closed its connection, or at
// least its sending side. Unread bytes do not hide that.
func Closed(ctx context.Context) bool {
	sc, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // this side has closed it
	}
	fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		if _, err := unix.Poll(fds, 0); err != nil {
			fds[0].Revents = 0 // a call that fails says nothing about the caller
		}
	})
	return err != nil || fds[0].Revents != 0
}

// watcher checks the connection of a request until it ends.
type watcher struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	timer clockwork.Timer // nil once the watch has ended
}

// Watch returns a context that also ends when the caller of a request is found to
// have closed its connection. The returned function ends the watch and must be
// called when the request has ended.
func Watch(ctx context.Context, c clockwork.Clock) (context.Context, context.CancelFunc) {
	w := &watcher{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = c.AfterFunc(checkInterval, w.check)
	return w.ctx, w.stop
}

func (w *watcher) check() {
	closed := Closed(w.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.timer == nil:
	case closed:
		w.cancel()
	default:
		w.timer.Reset(checkInterval)
	}
}

func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
