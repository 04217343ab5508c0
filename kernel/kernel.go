// Package kernel starts, stops and names the services of a process. Services
// find each other by name and depend on interfaces, not on concrete types.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"gopkg.in/tomb.v2"
)

// Errors that callers test with errors.Is.
var (
	ErrNoService = errors.New("service is not registered")
	ErrType      = errors.New("service has another type")
	ErrDuplicate = errors.New("service name is taken")
)

// Service is a part of the process with a life of its own. Run returns when
// its context ends; a nil error before that is an orderly end of the service.
type Service interface {
	Run(ctx context.Context) error
}

// Kernel is a registry of services. The zero value is ready to use.
type Kernel struct {
	mu       sync.Mutex
	services map[string]any
	order    []string
	running  []*task
	failed   chan error
}

type task struct {
	name string
	tomb tomb.Tomb
}

// Register names a service or another value that services look up. Services
// are started in the order of registration and stopped in reverse.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return fmt.Errorf("register service %q: %w", name, ErrDuplicate)
	}
	if k.services == nil {
		k.services = make(map[string]any)
	}
	k.services[name] = service
	k.order = append(k.order, name)
	return nil
}

// Find returns the named service as the wanted interface.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("find service %q: %w", name, ErrNoService)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("find service %q: %w: %T", name, ErrType, s)
	}
	return t, nil
}

// Start runs all registered services. The context bounds the lifetime of the
// services; Stop ends them in reverse order.
func (k *Kernel) Start(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failed = make(chan error, len(k.order))
	for _, name := range k.order {
		s, ok := k.services[name].(Service)
		if !ok {
			continue
		}
		t := &task{name: name}
		runCtx := t.tomb.Context(ctx)
		failed := k.failed
		t.tomb.Go(func() error {
			err := s.Run(runCtx)
			if err != nil && runCtx.Err() == nil {
				err = fmt.Errorf("service %s: %w", t.name, err)
				failed <- err
				return err
			}
			return nil
		})
		k.running = append(k.running, t)
	}
}

// Failed delivers the error of each service that ended before it was stopped.
func (k *Kernel) Failed() <-chan error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failed
}

// Stop ends all services in reverse order of their start and waits for each.
func (k *Kernel) Stop() error {
	k.mu.Lock()
	running := slices.Clone(k.running)
	k.running = nil
	k.mu.Unlock()
	var errs []error
	for _, t := range slices.Backward(running) {
		t.tomb.Kill(nil)
		if err := t.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
