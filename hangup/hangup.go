// Package hangup tells an HTTP server whether a caller has closed its connection.
// The context of net/http ends for that as well, but later: the read that notices
// the close starts together with the handler.
package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

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
