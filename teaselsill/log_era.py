"""Notices that the log service has come back from an older copy."""

import collections.abc
import logging

from teaselsill import ids, log

OnRestore = collections.abc.Callable[[ids.Era], None]
OnHint = collections.abc.Callable[[], None]

logger = logging.getLogger(__name__)


class LogEra:
    """The era of the log service, as its responses and other routers state it.

    Only a response changes the era. What another router says is a reason to ask the
    log service, since a wrong era would make this router ignore all responses.

    Attributes:
        current: The era; `NO_ERA` before the first response that states one.
        on_restore: Called with the new era when a response shows that the log has come
            back from an older copy.
        on_hint: Called when another router knows a later era than this one.
    """

    def __init__(self):
        self.current = ids.NO_ERA
        self.on_restore: list[OnRestore] = []
        self.on_hint: list[OnHint] = []
        self._told = ids.NO_ERA

    def note_response(self, era: ids.Era | None, call: str) -> ids.Era:
        """Records the era that a response states.

        Args:
            era: The era; none if the response states none.
            call: The call that was responded to, for the log.

        Returns:
            The era of the response.

        Raises:
            StaleResponseError: The response is of an earlier era.
        """
        if era is None or era == self.current:
            return self.current
        if era < self.current:
            raise log.StaleResponseError(
                f"{call}: response of era {era} in era {self.current}"
            )
        earlier, self.current = self.current, era
        if earlier != ids.NO_ERA:
            logger.warning(
                "log restored from an older copy",
                extra={"era": era, "earlier_era": earlier, "call": call},
            )
            for notify in self.on_restore:
                notify(era)
        return era

    def note_told(self, era: ids.Era, router: ids.InstanceId) -> None:
        """Records the era that another router knows.

        Args:
            era: The era.
            router: The other router.
        """
        if self.current == ids.NO_ERA or era <= max(self.current, self._told):
            return
        self._told = era
        logger.info(
            "another router knows a later era of the log",
            extra={"era": era, "earlier_era": self.current, "told_by": router},
        )
        for notify in self.on_hint:
            notify()

    def forget(self) -> None:
        """Forgets the era: from now on, calls go to another log service."""
        self.current = ids.NO_ERA
        self._told = ids.NO_ERA
