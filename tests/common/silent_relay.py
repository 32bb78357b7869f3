"""A TCP relay that can stop forwarding without closing its connections."""

import socket
import threading

RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_S = 5


class SilentRelay:
    """Listens on its own port and forwards connections to ``target``."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._connections = []
        self._lock = threading.Lock()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        _run(self._accept)

    def silence(self):
        """Stop forwarding on the open connections; return their number.

        They stay open. New connections are forwarded.
        """
        with self._lock:
            for connection in self._connections:
                connection.silent.set()
            return len(self._connections)

    def close(self):
        """Close the listener and all connections."""
        self._listener.close()
        with self._lock:
            for connection in self._connections:
                connection.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            ip, _, port = self._target.rpartition(":")
            try:
                far = socket.create_connection((ip, int(port)), CONNECT_TIMEOUT_S)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            connection = _Relayed(near, far)
            with self._lock:
                self._connections.append(connection)


class _Relayed:
    def __init__(self, near, far):
        self.silent = threading.Event()
        self._ends = (near, far)
        _run(self._forward, near, far)
        _run(self._forward, far, near)

    def close(self):
        for end in self._ends:
            end.close()

    def _forward(self, source, sink):
        try:
            while data := source.recv(RECEIVE_BYTES):
                if self.silent.is_set():
                    # The other end gets no data and no close.
                    return
                sink.sendall(data)
        except OSError:
            pass
        if not self.silent.is_set():
            self.close()


def _run(function, *args):
    threading.Thread(target=function, args=args, daemon=True).start()
