package event

import "log/slog"

// Events that concern several packages.
var (
	NodeStarted = Define(1000, "node started", slog.LevelInfo,
		"The node process runs and its four addresses accept connections.",
		"None.")
	NodeStopped = Define(1001, "node stopped", slog.LevelInfo,
		"The node process ended after all work in flight was done.",
		"None if the stop was intended; otherwise start the node again.")
	DrainStarted = Define(1010, "drain started", slog.LevelInfo,
		"The node accepts no new work for its target and moves its keys away.",
		"Wait for the end of the drain before the host is taken away.")
	DrainEnded = Define(1011, "drain ended", slog.LevelInfo,
		"No work is in flight on the target and the host owns no keys.",
		"The host may be taken away.")
	DrainFailed = Define(1012, "drain failed", slog.LevelWarn,
		"The node did not hand over all of its keys in time.",
		"Look at the store and at requests that do not end, and drain again before the host is taken away.")

	HostJoined = Define(1100, "host joined", slog.LevelInfo,
		"The node wrote its member record and holds a lease from its witnesses.",
		"None.")
	LeaseLapsed = Define(1101, "lease lapsed", slog.LevelWarn,
		"The node could not renew its lease in time and dispatches no requests.",
		"If it does not recover within a second, check the network between this host and its witnesses, and whether the process was paused.")
	LeaseRecovered = Define(1102, "lease recovered", slog.LevelInfo,
		"The node renewed its lease before it was marked and dispatches requests again.",
		"None; look for the cause if this happens often.")
	HostMarked = Define(1103, "host marked", slog.LevelWarn,
		"A coordinator marked a host as lost. The mark is final for that incarnation.",
		"Check the host. Its node rejoins with a new incarnation by itself.")
	TakeoverStarted = Define(1104, "takeover started", slog.LevelWarn,
		"The coordinator moves the shards of marked hosts to other hosts.",
		"None unless no end of the takeover follows.")
	TakeoverEnded = Define(1105, "takeover ended", slog.LevelInfo,
		"All shards of the marked hosts have new owners.",
		"Check that the remaining capacity is sufficient.")
	KeysMoved = Define(1106, "keys moved", slog.LevelInfo,
		"A shard or a hot key went to another owner in an orderly way.",
		"None.")
	HostFenced = Define(1107, "host fenced", slog.LevelWarn,
		"The node learned that its incarnation was marked or removed. It dispatches nothing until it has joined as a new one.",
		"Look for the cause: a lost network, a paused process or an overloaded host.")
	HostLeft = Define(1108, "host left", slog.LevelInfo,
		"The node handed over its keys and removed its member record.",
		"None.")

	ConfigurationAccepted = Define(1200, "configuration accepted", slog.LevelInfo,
		"The node applies a new version of the inventory or the rules.",
		"None.")
	ConfigurationRefused = Define(1201, "configuration refused", slog.LevelError,
		"The node read a stored document that it cannot apply and keeps the version in force.",
		"Run burdocklift check on the stored document and put a corrected version.")

	StoreUnavailable = Define(1300, "store unavailable", slog.LevelWarn,
		"The platform's store does not answer. Hosts keep their leases and keys, but no ownership can change.",
		"Have the platform's operators restore the store. Avoid stopping nodes meanwhile.")
	StoreAvailable = Define(1301, "store available", slog.LevelInfo,
		"The platform's store answers again.",
		"None.")
	RecordInvalid = Define(1302, "record not valid", slog.LevelError,
		"A record in the store cannot be read. The node keeps the version that it has.",
		"Find out who wrote the record that the line names; nodes of another version or another program may use the same store.")

	RequestQuarantined = Define(1700, "request quarantined", slog.LevelError,
		"A request was in flight at two crashes of a target and is refused on all nodes.",
		"Find the fault in the target, then list and lift the entry through the operators' interface of a node.")
)
