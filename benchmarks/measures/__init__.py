"""The two measures, goodput of whole requests and recovery, in virtual time."""
