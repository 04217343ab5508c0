package node

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"burdocklift/event"
	"burdocklift/owner"
	"burdocklift/poison"
	"burdocklift/proto"
)

const (
	// noticeBatch is the number of crashes in a message. One has about 50 bytes,
	// so that the message fits a datagram of 1,200 bytes.
	noticeBatch = 16
	// noticeTimeout bounds the wait of a caller for a busy control goroutine.
	noticeTimeout = time.Second
)

// notify sends notices to the other active members of the service and returns
// when they are sent.
func (n *Node) notify(notices []poison.Notice) {
	n.logQuarantine()
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	sent := make(chan struct{})
	n.control.Do(ctx, func(core *owner.Core, _ time.Time, fx owner.Effects) {
		defer close(sent)
		view := core.View()
		own, ok := view.Host(view.Self())
		if !ok {
			return
		}
		for batch := range slices.Chunk(notices, noticeBatch) {
			var m proto.Notice
			for _, c := range batch {
				m.Crashes = append(m.Crashes, proto.Crash{
					Hash: uint64(c.Hash), Round: c.Round, Origin: c.Origin, Count: c.Count, Expiry: c.Expiry,
				})
			}
			for id, h := range view.Hosts() {
				if id != view.Self() && h.Member.Service == own.Member.Service && h.Member.State == proto.Active {
					fx.Send(id, m)
				}
			}
		}
	})
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

// noticed adopts the notices of another node.
func (n *Node) noticed(m proto.Notice) {
	notices := make([]poison.Notice, 0, len(m.Crashes))
	for _, c := range m.Crashes {
		notices = append(notices, poison.Notice{
			Hash: poison.Hash(c.Hash), Round: c.Round, Origin: c.Origin, Count: c.Count, Expiry: c.Expiry,
		})
	}
	n.router.ReceiveNotices(notices)
	n.logQuarantine()
}

// logQuarantine logs the requests that have been quarantined since the last
// call. The list is short, and calls follow crashes of targets only.
func (n *Node) logQuarantine() {
	entries := n.router.QuarantineEntries()
	n.mu.Lock()
	defer n.mu.Unlock()
	logged := make(map[poison.Hash]bool)
	for _, e := range entries {
		if !e.Quarantined {
			continue
		}
		logged[e.Hash] = true
		if !n.quarantined[e.Hash] {
			event.RequestQuarantined.Log(context.Background(), n.cfg.Log, slog.String("hash", e.Hash.String()))
		}
	}
	n.quarantined = logged
}
