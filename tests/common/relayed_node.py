"""Runs a node whose connections to some addresses go through relays.

``python -m tests.common.relayed_node SETTINGS '{"ADDRESS": "RELAY", ...}'``
"""

import json
import sys
from pathlib import Path

from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.node import daemon
from jacinthshed.internal.settings.load import load_settings


def relayed_network(relays):
    """Return the TCP network, with addresses replaced as ``relays`` maps them."""
    network = tcp_network()

    async def connect(address):
        return await network.connect(relays.get(address, address))

    return network._replace(connect=connect)


def main(settings, relays):
    """Run a node with the settings file and relays given as JSON."""
    network = relayed_network(json.loads(relays))
    daemon.tcp_network = lambda: network
    path = Path(settings)
    return daemon.run_daemon(load_settings(path).unwrap(), path)


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
