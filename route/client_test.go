package route

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Guards against a request that is sent after the lease has expired because it
// waited for a connection after its lease check.
func TestCheckBeforeFirstByte(t *testing.T) {
	var served atomic.Int32
	reached, release := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if served.Add(1) == 1 {
			close(reached)
			<-release
		}
	}))
	defer target.Close()
	client := newClient(1)
	call := func(check func() error) error {
		_, _, err := exchange(t.Context(), client, http.MethodPost, target.URL, http.Header{}, []byte("x"), 1<<20, check)
		return err
	}
	var ended atomic.Bool
	check := func() error {
		if ended.Load() {
			return errNoLease
		}
		return nil
	}
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- call(check) }()
	<-reached
	go func() { second <- call(check) }()
	ended.Store(true)
	close(release)
	if err := <-first; err != nil {
		t.Errorf("request sent under the lease: %v", err)
	}
	if err := <-second; !errors.Is(err, errNoLease) || !errors.Is(err, errNotSent) {
		t.Errorf("request sent after the lease expired: error %v, want %v", err, errNoLease)
	}
	if n := served.Load(); n != 1 {
		t.Errorf("the target ran %d requests, want 1", n)
	}
}
