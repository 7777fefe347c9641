"""A TCP relay with faults that a test switches on and off."""

import enum

from standins import relay

HOST = "127.0.0.1"


class Fault(enum.Enum):
    """Faults of a link."""

    NONE = "none"
    DELAYED = "delayed"
    ONE_WAY = "one-way"
    SILENT = "silent"


class FaultyLink(relay.Relay):
    """Relays connections and applies the current fault to them.

    Connections that were silenced stay silent after the fault ends; new ones work.

    Args:
        target_port: The port to which connections are relayed.

    Attributes:
        fault: The current fault.
    """

    def __init__(self, target_port):
        super().__init__(HOST, target_port)
        self.fault = Fault.NONE
        self.inspect = self._apply_fault

    async def __aenter__(self):
        """Starts the relay."""
        await self.start()
        return self

    async def __aexit__(self, *exc):
        """Closes all connections and stops the relay."""
        await self.close()

    def _apply_fault(self, connection, direction, data):
        match self.fault:
            case Fault.DELAYED:
                return relay.Action.DELAY
            case Fault.SILENT:
                return relay.Action.SILENCE
            case Fault.ONE_WAY if direction is relay.Direction.TO_CLIENT:
                return relay.Action.SILENCE_WAY
        return relay.Action.PASS
