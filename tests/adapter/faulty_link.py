"""A relayed link that is disturbed for a time."""

import enum

from standins import relay

HOST = "127.0.0.1"


class Fault(enum.Enum):
    """What is wrong with a link."""

    NONE = "none"
    DELAYED = "delayed"
    ONE_WAY = "one-way"
    SILENT = "silent"


class FaultyLink(relay.Relay):
    """Passes the bytes of connections on, unless it has a fault.

    Connections that were silenced stay so when the fault ends; new ones work.

    Args:
        target_port: Where connections go.

    Attributes:
        fault: What is wrong.
    """

    def __init__(self, target_port):
        super().__init__(HOST, target_port)
        self.fault = Fault.NONE
        self.inspect = self._disturb

    async def __aenter__(self):
        """Starts it."""
        await self.start()
        return self

    async def __aexit__(self, *exc):
        """Ends all connections and stops."""
        await self.close()

    def _disturb(self, connection, direction, data):
        match self.fault:
            case Fault.DELAYED:
                return relay.Action.DELAY
            case Fault.SILENT:
                return relay.Action.SILENCE
            case Fault.ONE_WAY if direction is relay.Direction.TO_CLIENT:
                return relay.Action.SILENCE_WAY
        return relay.Action.PASS
