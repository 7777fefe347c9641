"""Charges one attempt's cost to its client account while the answer streams."""

from teaselsill import counters, document, policies, slots


class Meter:
    """Turns an expected cost step by step into the metered one.

    Args:
        known: The counters to charge.
        policy: Told of what is charged.
        offer: The slot that the attempt uses, with its expected cost.
        configuration: Has the client account's share.

    Attributes:
        cost: What was metered, in the service's unit.
    """

    def __init__(
        self,
        known: counters.Counters,
        policy: policies.Policy,
        offer: slots.Offer,
        configuration: document.Document,
    ):
        self.cost = 0.0
        self._counters = known
        self._policy = policy
        self._account = offer.account
        self._share = configuration.account_by_id[offer.account].share
        self._reserved = offer.expected

    def add(self, cost: float) -> None:
        """Charges some cost and lowers the reserve by it."""
        self.cost += cost
        normalised = max(0.0, cost) / self._share
        self._counters.add_served(self._account, normalised)
        self._policy.add_served(self._account, normalised)
        self._release(min(normalised, self._reserved))

    def close(self) -> None:
        """Gives back what is left of the reserve."""
        self._release(self._reserved)

    def _release(self, normalised: float) -> None:
        self._counters.release(self._account, normalised)
        self._reserved -= normalised
