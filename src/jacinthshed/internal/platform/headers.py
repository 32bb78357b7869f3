"""Names of the platform's header fields, in lower case."""

# Names one attempt of a client; each attempt has its own.
ATTEMPT_ID = b"attempt-id"
# Milliseconds that the client will wait, counted from the request's arrival.
DEADLINE_MS = b"deadline-ms"
# A target's receipt for the whole answer that it stands on.
RESPONSE_SEAL = b"response-seal"
# Names the only target that may run the request; any other answers 421.
PIN_INSTANCE = b"pin-instance"
# The answer's request was not run by the target.
NOT_EXECUTED = b"not-executed"
RETRY_AFTER = b"retry-after"
# The service beside which a request began.
CALLER_SERVICE = b"caller-service"
