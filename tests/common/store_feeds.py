"""The feeds of a stand-in store, with a record of what they delivered."""

import trio

from jacinthshed.internal.discovery.directory import Directory
from jacinthshed.internal.discovery.publication import Sinks
from jacinthshed.internal.platform.feeds import policy_feed, targets_feed
from jacinthshed.internal.platform.store import http_store_client
from jacinthshed.internal.standin.store import serve_store
from jacinthshed.internal.standin.store_state import StoreState
from tests.common.fleet import run_virtual
from tests.common.http import memory_network
from tests.common.machines import STORE

PEER_PORT = 3


def run_scenario(scenario, **options):
    """Run ``scenario`` with the state of a fake store and a client of it."""

    async def main():
        state = StoreState(**options)
        network = memory_network()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_store, state, network, STORE)
            with trio.fail_after(120):
                await scenario(
                    state, http_store_client(address=STORE, connect=network.connect)
                )
            nursery.cancel_scope.cancel()

    run_virtual(main)


class FeedRecorder:
    """The feeds of a store, and the documents and targets that they delivered."""

    def __init__(self, store, *, starts_stale=False):
        self.documents = []
        self.lines = []
        self.directory = Directory()
        sinks = Sinks(
            take_bundle=self.documents.append,
            take_hosts=lambda hosts: None,
            replace_targets=self.directory.replace,
            change_targets=self.directory.apply,
        )
        self.policy = policy_feed(store, sinks, self.log, starts_stale=starts_stale)
        self.targets = targets_feed(
            store, sinks, self.log, PEER_PORT, starts_stale=starts_stale
        )

    def log(self, event, **fields):
        """Record one line of the log."""
        self.lines.append({"event": event, **fields})

    @property
    def ids(self):
        return {entry.target_id for entry in self.directory.entries()}
