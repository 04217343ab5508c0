package site

import (
	"context"
	"errors"
	"time"

	"burdocklift/owner"
)

// Live reports whether the host's node runs and is not frozen.
func (h *Host) Live() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopped && h.thaw == nil
}

// untouched reports whether no fault hit the host so far.
func (h *Host) untouched() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.touched
}

// end notes that the node ends and reports whether it still ran.
func (h *Host) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ran := !h.stopped
	h.stopped, h.touched = true, true
	if h.thaw != nil {
		close(h.thaw)
		h.thaw = nil
	}
	return ran
}

// Kill ends a host's node at once, without handing anything over, as the loss
// of its process would. The target goes on. A second call has no effect.
func (h *Host) Kill() error {
	if !h.end() {
		return nil
	}
	// The node goes first: a last announcement would start a graceful leave.
	err := h.Node.Kill()
	h.endAnnounce()
	return err
}

// Lose ends the node and the target at once, as the loss of the host would.
func (h *Host) Lose() error {
	return errors.Join(h.Kill(), h.server.Close())
}

// Leave hands over a host's entries and ends its node gracefully.
func (h *Host) Leave(ctx context.Context) error {
	h.mu.Lock()
	h.touched = true
	h.mu.Unlock()
	err := h.Node.Leave(ctx)
	if !h.end() {
		return err
	}
	h.endAnnounce()
	return errors.Join(err, h.Node.Stop())
}

// Freeze stops the target and the node's control goroutine until Thaw, so that
// the node neither renews its lease nor learns of a takeover. The node's
// traffic goroutines go on: only the lease gate stops them from dispatching.
func (h *Host) Freeze(ctx context.Context) {
	h.mu.Lock()
	if h.stopped || h.thaw != nil {
		h.mu.Unlock()
		return
	}
	thaw := make(chan struct{})
	h.thaw, h.touched = thaw, true
	h.mu.Unlock()
	h.Target.Freeze()
	h.Node.Control().Do(ctx, func(*owner.Core, time.Time, owner.Effects) { <-thaw })
}

// Thaw ends a freeze. The host returns as if nothing had happened.
func (h *Host) Thaw() {
	h.mu.Lock()
	if h.thaw != nil {
		close(h.thaw)
		h.thaw = nil
	}
	h.mu.Unlock()
	h.Target.Thaw()
}

// Crash ends the target's process, which returns after a while.
func (h *Host) Crash() {
	h.mu.Lock()
	h.touched = true
	h.mu.Unlock()
	h.Target.Crash()
}

// endAnnounce stops the target's announcements. Its last one, which says that
// the target leaves, fails if the node is already gone.
func (h *Host) endAnnounce() {
	h.stopAnnounce()
	if err := <-h.announceDone; err != nil {
		h.log.Debug("last announcement failed", "error", err)
	}
}
