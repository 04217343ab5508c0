// Package admin is the operators' HTTP interface of a node.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"burdocklift/event"
	"burdocklift/kernel"
	"burdocklift/poison"
)

// Names of services that the server looks up in the kernel at each request.
const (
	MetricsService    = "stats"      // a json.Marshaler, such as *stats.Set
	QuarantineService = "quarantine" // a Quarantine
)

// Errors that callers test with errors.Is.
var (
	ErrUnknownService = errors.New("no keyed service has this name")
	ErrUnknownOwner   = errors.New("the owner is not known")
)

// Source is the node whose state the server shows.
type Source interface {
	Status(ctx context.Context) Status
	Members() []Member
	Owner(service, key string) (Ownership, error) // ErrUnknownService, ErrUnknownOwner
	Drain()                                       // starts a graceful leave
}

// Quarantine is the node's quarantine. Lift makes the change known to the other
// nodes.
type Quarantine interface {
	List() []poison.Entry
	Lift(h poison.Hash) error // poison.ErrNotFound
}

// Config is what a server is made of.
type Config struct {
	Token  string
	Source Source
	Kernel *kernel.Kernel
	Log    *slog.Logger
}

type server struct {
	Config
	verifier verifier
	router   *bunrouter.Router
}

// New returns the handler of the operators' address. It refuses every request
// without the token, also those to unknown paths.
func New(cfg Config) http.Handler {
	s := &server{Config: cfg, verifier: newVerifier(cfg.Token), router: bunrouter.New()}
	s.router.GET("/status", s.status)
	s.router.GET("/members", s.members)
	s.router.GET("/metrics", s.metrics)
	s.router.GET("/owner", s.owner)
	s.router.POST("/drain", s.drain)
	s.router.GET("/quarantine", s.quarantine)
	s.router.DELETE("/quarantine", s.lift)
	return s
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	// An empty token would be matched by a header without one.
	if s.Token == "" || !s.verifier.allows(req) {
		AccessRefused.Log(req.Context(), s.Log, slog.String("remote", req.RemoteAddr))
		w.Header().Set("WWW-Authenticate", "Bearer")
		refuse(w, http.StatusUnauthorized, "a valid token is required")
		return
	}
	s.router.ServeHTTP(w, req)
}

// AccessRefused is logged for each request without a valid token.
var AccessRefused = event.Define(2300, "operator access refused", slog.LevelWarn,
	"A request to the operators' address had no valid token.",
	"Check the token file of the client; look for the sender if it is not known.")

// QuarantineLifted is logged when an operator lifts an entry.
var QuarantineLifted = event.Define(2301, "quarantine lifted", slog.LevelInfo,
	"An operator lifted an entry of the quarantine; the request may run again.",
	"None.")

type problem struct {
	Error string `json:"error"`
}

func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{text})
}

func (s *server) status(w http.ResponseWriter, req bunrouter.Request) error {
	return bunrouter.JSON(w, s.Source.Status(req.Context()))
}

func (s *server) members(w http.ResponseWriter, _ bunrouter.Request) error {
	return bunrouter.JSON(w, s.Source.Members())
}

func (s *server) metrics(w http.ResponseWriter, _ bunrouter.Request) error {
	m, err := kernel.Find[json.Marshaler](s.Kernel, MetricsService)
	if err != nil {
		refuse(w, http.StatusNotFound, "this node has no metrics: "+err.Error())
		return nil
	}
	return bunrouter.JSON(w, m)
}

func (s *server) owner(w http.ResponseWriter, req bunrouter.Request) error {
	q := req.URL.Query()
	if q.Get("service") == "" || q.Get("key") == "" {
		refuse(w, http.StatusBadRequest, "service and key are required")
		return nil
	}
	o, err := s.Source.Owner(q.Get("service"), q.Get("key"))
	if err != nil {
		refuse(w, http.StatusNotFound, err.Error())
		return nil
	}
	return bunrouter.JSON(w, o)
}

func (s *server) drain(w http.ResponseWriter, _ bunrouter.Request) error {
	s.Source.Drain()
	w.WriteHeader(http.StatusAccepted)
	return nil
}

func (s *server) find(w http.ResponseWriter) (Quarantine, bool) {
	q, err := kernel.Find[Quarantine](s.Kernel, QuarantineService)
	if err != nil {
		refuse(w, http.StatusNotFound, "this node has no quarantine: "+err.Error())
	}
	return q, err == nil
}

func (s *server) quarantine(w http.ResponseWriter, _ bunrouter.Request) error {
	q, ok := s.find(w)
	if !ok {
		return nil
	}
	list := []Quarantined{}
	for _, e := range q.List() {
		list = append(list, quarantined(e))
	}
	return bunrouter.JSON(w, list)
}

func (s *server) lift(w http.ResponseWriter, req bunrouter.Request) error {
	q, ok := s.find(w)
	if !ok {
		return nil
	}
	text := req.URL.Query().Get("hash")
	h, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, fmt.Sprintf("hash %q is not a hexadecimal number of up to 16 digits", text))
		return nil
	}
	switch err := q.Lift(poison.Hash(h)); {
	case errors.Is(err, poison.ErrNotFound):
		refuse(w, http.StatusNotFound, err.Error())
	case err != nil:
		refuse(w, http.StatusInternalServerError, err.Error())
	default:
		QuarantineLifted.Log(req.Context(), s.Log, slog.String("hash", poison.Hash(h).String()))
		w.WriteHeader(http.StatusNoContent)
	}
	return nil
}
