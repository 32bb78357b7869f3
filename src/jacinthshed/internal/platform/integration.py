"""The users' platform as a source of policy and targets, and as an edge."""

from collections.abc import Sequence

from ..bundle.model import ReaderPolicy
from ..discovery.feed import Feed
from ..discovery.publication import Publication, Sinks
from ..http.network import Connect
from ..node.integration import Integration
from ..settings.model import NodeSettings, StoreSettings
from ..telemetry.log import LogDecision
from .bounds import read_bounds
from .edge import platform_edge
from .feeds import policy_feed, targets_feed
from .policy_document import POLICY_KEY, policy_document_opener
from .store import http_store_client
from .target_entries import TARGETS_PREFIX

# Nodes that start together spread their first reads over this time, which is short
# beside the time after which they are expected to serve.
START_WINDOW_MS = 100.0
# A watch that went silent is noticed after this time and the time-out of a call.
WATCH_MS = 5_000
# Several changes in a row are each heard of within a fraction of a second.
NODE_READS_PER_S = 5.0
# One could be the one that is cut off; what they read reaches the others by gossip.
READERS_PER_ZONE = 2
# Others read as well once nobody has heard of the store for this long.
QUIET_AFTER_MS = 6_000
# Changes are expected to be in force two seconds after the store is stable again.
MAX_BACKOFF_MS = 1_000


def store_integration(settings: NodeSettings, store: StoreSettings) -> Integration:
    """Return the seam of a node that reads ``store``."""
    readers = ReaderPolicy(
        per_zone=READERS_PER_ZONE,
        reads_per_s=store.reads_per_s,
        node_reads_per_s=NODE_READS_PER_S,
        watch_ms=WATCH_MS,
        quiet_after_ms=QUIET_AFTER_MS,
        max_backoff_ms=MAX_BACKOFF_MS,
    )
    peer_port = settings.listen.peer.port

    def feeds(connect: Connect, sinks: Sinks, log: LogDecision) -> Sequence[Feed]:
        client = http_store_client(address=str(store.address), connect=connect)
        return [policy_feed(client, sinks), targets_feed(client, sinks, peer_port)]

    publication = Publication(
        keys=(POLICY_KEY, TARGETS_PREFIX),
        open_bundle=policy_document_opener(read_bounds(store.bounds), readers),
        feeds=feeds,
        lists_targets=True,
        is_current=True,
        readers=readers,
        start_window_ms=START_WINDOW_MS,
    )
    return Integration(publication, platform_edge(settings.service))
