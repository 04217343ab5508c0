package terse_test

import (
	"errors"
	"fmt"
	"testing"

	"burdocklift/terse"
)

// Guards against strings that are replaced before the other node knows them, in whatever
// order messages arrive, and against tables without a bound.
func TestLearnedStrings(t *testing.T) {
	var learner terse.Learner
	var memory terse.Memory
	write := func(s string) *terse.Writer {
		w := terse.NewWriter(&learner)
		w.Recurring(s)
		return w
	}
	read := func(w *terse.Writer, want string) {
		t.Helper()
		r := terse.NewReader(w.Bytes()).With(&memory)
		if got := r.String(); got != want || r.Err() != nil {
			t.Errorf("%q becomes %q, %v", want, got, r.Err())
		}
	}
	const name = "lot-archive"
	lost, first, second := write(name), write(name), write(name)
	if len(lost.Bytes()) <= len(name) {
		t.Error("a string was replaced before any message was read")
	}
	read(second, name)
	learner.Confirm(second)
	third := write(name)
	if len(third.Bytes()) > 1 {
		t.Errorf("a string that is known takes %d bytes", len(third.Bytes()))
	}
	read(third, name)
	read(first, name)
	for i := range 1000 {
		s := fmt.Sprint("host-", i)
		w := write(s)
		read(w, s)
		learner.Confirm(w)
	}
	read(write(name), name)
	if n := len(write("host-999").Bytes()); n < len("host-999") {
		t.Errorf("the thousandth string takes %d bytes: the table has no bound", n)
	}
	var empty terse.Memory
	for _, m := range []*terse.Memory{nil, &empty} {
		r := terse.NewReader(third.Bytes()).With(m)
		if s := r.String(); s != "" || !errors.Is(r.Err(), terse.ErrInvalid) {
			t.Errorf("an unknown number is read as %q, %v", s, r.Err())
		}
	}
}
