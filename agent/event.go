package agent

import (
	"log/slog"

	"burdocklift/event"
)

var (
	eventRequestsCut = event.Define(3100, "requests cut", slog.LevelWarn,
		"The node stopped while requests were still in flight.",
		"Allow the process more time to stop.")
	eventSettingsRead = event.Define(3102, "settings read", slog.LevelInfo,
		"The node reloaded its settings and applied the drain time. With restart=true, settings have changed that only a restart applies.",
		"Restart the node if restart=true.")
	eventSettingsRefused = event.Define(3103, "settings refused", slog.LevelError,
		"The settings file could not be read or is invalid. The previous settings stay in force.",
		"Correct the settings file that the error names.")
	eventStopping = event.Define(3104, "stopping", slog.LevelInfo,
		"The node received a stop signal. It reports that it is not ready and waits for requests in flight.",
		"None.")
	eventRequestsEnded = event.Define(3105, "requests ended", slog.LevelInfo,
		"All requests of a stopping node have ended.",
		"None.")
	eventHeartbeatRefused = event.Define(3106, "heartbeat refused", slog.LevelWarn,
		"A heartbeat lacks a field, has it with another type or with an invalid value, and was ignored. The reason names the field. "+
			"The same reason is logged at most once a minute; heartbeats_refused in the metrics counts all.",
		"Find the program that sends the heartbeat. If it is the target beside the node, compare target.service in the settings.")
	eventCallRefused = event.Define(3107, "call refused", slog.LevelInfo,
		"A request of a caller could not be read or exceeds the limits. The same reason is logged at most once a minute.",
		"Report the error to the owner of the caller.")
	eventAnswerNotDelivered = event.Define(3101, "answer not delivered", slog.LevelInfo,
		"A caller closed its connection before its response was written.",
		"None.")
	eventMemoryRefused = event.Define(3109, "no memory for a request", slog.LevelWarn,
		"The memory for messages is used up, so that a request was refused, or a slow client gave way to others. Logged at most once a minute.",
		"Look at memory_used, memory_evicted and connections_callers in the metrics, and for clients that send or read slowly.")
	eventConnectionRefused = event.Define(3110, "connection refused", slog.LevelWarn,
		"There are too many connections, or no descriptor is left. Idle ones are closed for new ones; the new one was closed if there are none. "+
			"Logged at most once a minute for each address that listens.",
		"Find the client that opens them. Raise limits.connections or the descriptor limit if it is a usual caller.")
	eventSlowClient = event.Define(3111, "slow client", slog.LevelInfo,
		"A client sent its request or read its answer more slowly than limits.pause and limits.rate allow. Logged at most once a minute.",
		"Tell the owner of the client.")
	eventHandlerPanicked = event.Define(3108, "handler panicked", slog.LevelError,
		"The handler of a call of another node ended with a panic. That call and the others on its connection fail; the node goes on.",
		"Report the line with its stack to the developers.")
)
