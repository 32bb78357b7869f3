"""Names of the platform's header fields, in lower case."""

# Id of one attempt of a caller; each attempt has an id of its own.
ATTEMPT_ID = b"attempt-id"
# Milliseconds that the caller will wait, counted from the request's arrival.
DEADLINE_MS = b"deadline-ms"
# Set by a target as a receipt for its whole answer.
RESPONSE_SEAL = b"response-seal"
# Id of the only target that may run the request; any other target answers 421.
PIN_INSTANCE = b"pin-instance"
# Set by a target on its answer to a request that it has not run.
NOT_EXECUTED = b"not-executed"
RETRY_AFTER = b"retry-after"
# Set by the store on each answer; rises each time the store is restored from a copy.
STORE_ERA = b"store-era"
# Service of the backend server beside the node where the request entered.
CALLER_SERVICE = b"caller-service"
# Key of a workspace. It is never passed on.
CREDENTIAL = b"credential"
# Name of the workspace that holds the key of a request, for its target.
TENANT = b"tenant"
CONTENT_ENCODING = b"content-encoding"
# Requests per second that a target takes from all machines together, while it says so.
SERVER_LIMIT = b"server-limit"
# "1" in all answers of a target that leaves.
SERVER_LEAVING = b"server-leaving"
# Running requests, waiting requests and slots of a target; the optional fourth figure
# is how long work takes there now, in percent of the usual.
SERVER_LOAD = b"server-load"
