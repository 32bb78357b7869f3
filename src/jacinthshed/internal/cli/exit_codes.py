"""Exit codes of the commands: success, refusal or failure, and usage error."""

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
