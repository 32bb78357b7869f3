"""Integration with the users' platform: policy, targets and header formats."""

from collections.abc import Sequence

from ..bundle.model import ReaderPolicy
from ..discovery.feed import Feed
from ..discovery.publication import Publication, Sinks
from ..http.network import Connect
from ..node.integration import Integration
from ..settings.model import NodeSettings, StoreSettings
from ..telemetry.log import LogDecision
from .bounds import read_bounds
from .feeds import policy_feed, targets_feed
from .http_adapter import platform_http_adapter
from .policy_document import POLICY_KEY, policy_document_opener
from .store import http_store_client
from .target_entries import TARGETS_PREFIX

# Nodes that start together spread their first reads over this time. A restarted node
# has to serve soon; on the first start of all, the targets have yet to be listed.
START_WINDOW_MS = 100.0
FIRST_START_WINDOW_MS = 2_000.0
# A silence of all connections is noticed after this time divided by the number of
# readers, plus the timeout of a call. The platform allows three seconds for that, for
# the next call and for gossip.
WATCH_MS = 4_500
# Lets a node read each of several changes in a row within a fraction of a second.
NODE_READS_PER_S = 5.0
# A single reader might be the node that is cut off. The other nodes receive by gossip
# what the readers have read.
READERS_PER_ZONE = 2
FLEET_READERS = 4
# Changes have to be in force within two seconds, of which gossip takes the rest.
BATCH_MS = 700
# A node knows the other members of its zone, and so its rank, after about this time.
SETTLE_MS = 1_500
# Further nodes read too when no answer of the store is known for this long.
QUIET_AFTER_MS = 6_000
# Changes have to be in force two seconds after the store is stable again.
MAX_BACKOFF_MS = 1_000


def store_integration(settings: NodeSettings, store: StoreSettings) -> Integration:
    """Return the integration of a node that reads policy and targets from ``store``."""
    readers = ReaderPolicy(
        per_zone=READERS_PER_ZONE,
        reads_per_s=store.reads_per_s,
        node_reads_per_s=NODE_READS_PER_S,
        watch_ms=WATCH_MS,
        quiet_after_ms=QUIET_AFTER_MS,
        max_backoff_ms=MAX_BACKOFF_MS,
        fleet_readers=FLEET_READERS,
        batch_ms=BATCH_MS,
        settle_ms=SETTLE_MS,
    )
    is_first_start = bool(store.first_start)
    peer_port = settings.listen.peer.port
    own_ip = settings.listen.entry.ip

    def feeds(connect: Connect, sinks: Sinks, log: LogDecision) -> Sequence[Feed]:
        client = http_store_client(address=str(store.address), connect=connect)
        return [
            policy_feed(client, sinks, log, starts_stale=is_first_start),
            targets_feed(client, sinks, log, peer_port, starts_stale=is_first_start),
        ]

    publication = Publication(
        keys=(POLICY_KEY, TARGETS_PREFIX),
        open_bundle=policy_document_opener(read_bounds(store.bounds), readers),
        feeds=feeds,
        lists_targets=True,
        is_current=True,
        readers=readers,
        start_window_ms=FIRST_START_WINDOW_MS if is_first_start else START_WINDOW_MS,
    )
    return Integration(publication, platform_http_adapter(settings.service, own_ip))
