"""Decides whether a request is sent to the chosen upstream or rejected at once."""

from teaselsill import calls, ids, placement, routing_table


class Admission:
    """Admits requests."""

    def check(
        self,
        call: calls.Call,
        route: routing_table.Route,
        account: ids.AccountId | None,
        choice: placement.Choice,
        now: float,
        is_first: bool,
    ) -> None:
        """Checks that a request is worth sending.

        Raises:
            RejectedError: It is rejected; it has not run.
        """
