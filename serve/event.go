package serve

import (
	"log/slog"

	"burdocklift/event"
)

var eventRequestServed = event.Define(2901, "request served", slog.LevelInfo,
	"A request of a caller was answered. One in 50 is logged.",
	"None.")

var eventTargetCrashed = event.Define(2902, "target crashed", slog.LevelWarn,
	"The connection to the target was lost during a request, and no process listens at the target's address.",
	"Check the target, and look for quarantined requests.")

var eventNoticeLost = event.Define(2903, "notice lost", slog.LevelInfo,
	"Some nodes could not be told in time which requests were in flight on a target that crashed.",
	"None, unless a request crashes more than two targets.")

var eventRequestCancelled = event.Define(2904, "request cancelled", slog.LevelInfo,
	"The node of a caller that left, or that has the answer of another target, cancelled a request that it had forwarded. The at_target field tells whether the target worked on it.",
	"Search the logs of all nodes for the request id: the line of the caller's node tells when the caller left.")

var eventTargetLimited = event.Define(2905, "target limited", slog.LevelInfo,
	"The target beside the node names another limit of requests a second in its responses, or none (0).",
	"Check the target. Requests over the limit are refused with the reason limit, or go to other targets.")

var eventCrashedRequest = event.Define(2906, "request ran at a crash", slog.LevelInfo,
	"The target crashed while the request ran. The other fields tell what this node knew of earlier crashes when it let the request "+
		"run: their number (known), how many of them it saw itself since its start (own), the nodes that saw them and the age of the last one.",
	"Look for the lines of other nodes with the same hash. A request that crashed two targets before should not have run.")

var eventNoticesReceived = event.Define(2907, "crash notices received", slog.LevelInfo,
	"Another node told which requests were in flight on its target when it crashed, or which of them were answered since.",
	"None.")

var eventTargetSlow = event.Define(2920, "target slow", slog.LevelWarn,
	"The target beside the node names a service time of at least twice its usual one for a second (slow is true), or no longer.",
	"Check what slows the target down if it lasts. Requests without keys go to other targets meanwhile.")

var eventRequestFailed = event.Define(2900, "request failed", slog.LevelInfo,
	"A request of a caller was refused, failed or ended without a response. The reason field names the cause.",
	"Search the logs of all nodes for the request id.")
