package fleet

import (
	"log/slog"

	"burdocklift/event"
)

var (
	eventMembersSeen = event.Define(3000, "members seen", slog.LevelInfo,
		"The node read the records of new nodes, or of new runs of known nodes. The line names up to 16 of them.",
		"None.")
	eventTargetChanged = event.Define(3001, "target changed", slog.LevelInfo,
		"The target beside the node started, is leaving, stopped sending heartbeats or ended.",
		"Check the target if it was not stopped on purpose.")
	eventHeartbeatStale = event.Define(3002, "heartbeat stale", slog.LevelDebug,
		"A heartbeat of an earlier incarnation, or an older one of the present incarnation, arrived late and was ignored.",
		"None.")
	eventTargetNotReplaced = event.Define(3018, "target not replaced", slog.LevelWarn,
		"A heartbeat names a later start or another id than the target beside the node, which sends heartbeats or may hold keys. It gets no "+
			"keys or requests until the present one has been silent for 2.2 s or refuses connections. Logged once for each such start.",
		"None if the target was restarted. Otherwise find the program that sends the heartbeat.")
	eventOtherDeparture = event.Define(3019, "departure of another target", slog.LevelInfo,
		"A target with another id than the one beside the node is deregistered. It counts as leaving if it announces itself later.",
		"None if that target was stopped. Otherwise find the program that deregisters it.")
	eventRangesWritten = event.Define(3003, "ranges written", slog.LevelInfo,
		"The node wrote member records or the ranges of a service. The reason says what changed in the ranges: moved, released, "+
			"renewed (a target restarted) or settled (the right of an earlier owner's node has ended).",
		"None.")
	eventRightRenewed = event.Define(3004, "right renewed", slog.LevelInfo,
		"The node has a new lease at the store, and with it the right to let its target hold keys.",
		"None.")
	eventRightLost = event.Define(3005, "right lost", slog.LevelWarn,
		"The lease of the node has ended, so that it must read the ranges again before it lets its target hold keys.",
		"None if the store was unavailable; otherwise look for the node that took over.")
	eventStoreLost = event.Define(3006, "store lost", slog.LevelWarn,
		"The store does not answer this node.",
		"Restore the store or the network path to it.")
	eventStoreBack = event.Define(3007, "store back", slog.LevelInfo,
		"The store answers this node again.",
		"None.")
	eventRightRevoked = event.Define(3008, "right revoked", slog.LevelWarn,
		"The node ended the lease of another node that does not release keys. They are taken over when the right of that node has ended.",
		"Check the host of the other node.")
	eventNodeLost = event.Define(3009, "node lost", slog.LevelWarn,
		"The planning node does not reach another node and moves the keys of its target.",
		"Check the host.")
	eventRightNotRevoked = event.Define(3010, "right not revoked", slog.LevelInfo,
		"The node did not end the right of another node that does not release keys: that node answers, the store did not serve "+
			"this node, or too few witnesses refused.",
		"None unless the keys stay without an owner.")
	eventConfirmationsRefused = event.Define(3012, "confirmations refused", slog.LevelWarn,
		"The node no longer confirms the right of another node, whose keys are taken over.",
		"Check the host of the other node.")
	eventRightConfirmed = event.Define(3013, "right confirmed by nodes", slog.LevelInfo,
		"The store did not confirm the node's lease, but its witnesses did.",
		"Restore the store or the network path to it.")
	eventWriteFailed = event.Define(3011, "write failed", slog.LevelInfo,
		"A write to the store conflicted with a change of another node, was refused or got no answer. It is repeated on the current state.",
		"None unless it persists; then check the store.")
	eventReleaseNotTold = event.Define(3014, "release not told", slog.LevelInfo,
		"The planning node did not accept a report of released keys, so that this node records the release itself.",
		"None unless it persists; then check the planning node.")
	eventRelayChanged = event.Define(3016, "relay changed", slog.LevelInfo,
		"The node gets changes of the stored records from another relay, or began or ceased to watch the store as a relay itself. An "+
			"empty relay is none. The age is the time since the store last confirmed, to this node or its relay, that there is no newer record.",
		"None. If the age is over 2 s, look for the nodes that the store does not answer.")
	eventWatchFailed = event.Define(3017, "watch failed", slog.LevelInfo,
		"The store did not answer a call for changes. The revision and the age are those of what the node knows.",
		"Restore the store or the network path to it.")
	eventNoCommonRegion = event.Define(3040, "no common region", slog.LevelWarn,
		"The routes that lead to a service with keys name regions, but no region is named by all of them. Its keys may have any owner, and "+
			"requests of a route are refused with the reason region when the owner of their key is outside its regions.",
		"Name a common region in all routes that lead to the service.")
	eventEvacuationBegan = event.Define(3041, "evacuation began", slog.LevelWarn,
		"The node learned that an operator asks for the evacuation of a data centre. Work without keys goes elsewhere at once, keys move, "+
			"and after closes_ms this node sends nothing more there, or to its own target if that is there.",
		"None. The metrics tell how many targets there are still in use.")
	eventEvacuationEnded = event.Define(3042, "evacuation ended", slog.LevelWarn,
		"The node learned that the request to evacuate a data centre was withdrawn. Its targets get requests and keys again.",
		"None.")
	eventKeysNotEvacuated = event.Define(3043, "keys not evacuated", slog.LevelError,
		"The planning node found no target outside the evacuated data centres that may own the keys of a service. They stay, and "+
			"requests for them are refused with the reason evacuated.",
		"Withdraw an evacuation, start targets elsewhere, or change the regions of the routes.")
	eventStoreRestored = event.Define(3050, "store restored", slog.LevelWarn,
		"The store was restored from an older copy, as its era shows. The node lists all records anew and keeps what it knows of "+
			"owners until the planning node has restored the ranges.",
		"Write the operators' records again: rules and evacuations.")
	eventRangesRestored = event.Define(3051, "ranges restored", slog.LevelWarn,
		"The planning node writes the ranges of a service again after the store was restored from an older copy. It has asked all "+
			"nodes; absent is the number of those that did not answer and whose rights have ended. Renewed is true if all "+
			"ranges get new epochs, as there may have been later ones than any node knows.",
		"None.")
	eventGatheredInvalid = event.Define(3052, "gathered ranges invalid", slog.LevelWarn,
		"A node told the planning node ranges that cannot be decoded, after the store was restored from an older copy.",
		"Report the line. The planning node asks again.")
	eventLoadCompared = event.Define(3015, "load compared", slog.LevelInfo,
		"The planning node compared the targets of a service, and moved keys from busy to idle ones if moved is true. A ratio "+
			"of 1 is the mean of load over capacity.",
		"None. A target that refuses for lack of free slots although its ratio is low has less capacity than it reported.")
	eventTargetCold = event.Define(3030, "target cold", slog.LevelInfo,
		"The target beside the node is cold, so that it gets few requests in a second, or is warm again (cold is false). If known is "+
			"false, the target may be cold: it refused connections, fell silent, or an event may have made it cold.",
		"None. If it lasts, look at the heartbeats of the target.")
)
