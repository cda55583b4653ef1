"""Exception classes; each message contains the remedy."""

from typing import TYPE_CHECKING

from guavagate.models import NotRun

if TYPE_CHECKING:
    from guavagate.ports.store import StoredObject


class GuavagateError(Exception):
    """Base class of all guavagate errors.

    Parameters
    ----------
    problem
        What went wrong.
    remedy
        What the reader of the message can do.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class SettingsError(GuavagateError):
    """The settings are invalid."""


class LinkError(GuavagateError):
    """A peer is unreachable or didn't answer in time."""


class LinkRefusedError(LinkError):
    """The message wasn't sent, so the peer didn't process it."""


class StoreError(GuavagateError):
    """The platform's object API didn't return a usable answer."""


class StoreUnavailableError(StoreError):
    """The object API is unreachable.

    Parameters
    ----------
    may_be_written
        Whether the failed write may have taken effect; the caller then has
        to read the object back. False only if it certainly didn't.
    """

    def __init__(
        self,
        problem: str,
        remedy: str,
        *,
        may_be_written: bool = True,
    ) -> None:
        super().__init__(problem, remedy)
        self.may_be_written = may_be_written


class StoreConflictError(StoreError):
    """A conditional update found another version.

    Parameters
    ----------
    current
        The current object, if the store returned it.
    """

    def __init__(
        self,
        problem: str,
        remedy: str,
        current: 'StoredObject | None' = None,
    ) -> None:
        super().__init__(problem, remedy)
        self.current = current


class PartitionError(GuavagateError):
    """A partition didn't execute a command."""


class NotAppliedError(PartitionError):
    """The command wasn't applied and never will be."""


class OutcomeUnknownError(PartitionError):
    """The command may or may not have been applied."""


class BadNumberError(GuavagateError):
    """A field that comes from outside is no whole number in its range."""


class UpstreamError(GuavagateError):
    """An upstream failed."""


class UpstreamDisconnectedError(UpstreamError):
    """The upstream closed or reset the connection before its answer ended."""


class ContradictoryStreamError(UpstreamError):
    """A stream has an event twice with different content.

    Nothing tells which one is true, so the events of this stream so far are not
    to be used.
    """


class UpstreamNotStartedError(UpstreamError):
    """The upstream didn't start the work."""


class UpstreamExcludedError(UpstreamNotStartedError):
    """The request may not use the upstream, so nothing was sent to it."""


class UpstreamUnreachableError(UpstreamNotStartedError):
    """Connecting to the upstream failed."""


class UpstreamLeavingError(UpstreamNotStartedError):
    """The upstream refused the work because it is leaving."""


class OutsideRegionsError(GuavagateError):
    """A job was not accepted, as it cannot run inside its regions.

    Parameters
    ----------
    retry_after
        Seconds after which the trainer may submit it again.
    """

    def __init__(
        self, problem: str, remedy: str, *, retry_after: float
    ) -> None:
        super().__init__(problem, remedy)
        self.retry_after = retry_after


class RefusalError(GuavagateError):
    """A caller's request is refused.

    Parameters
    ----------
    reason
        Machine-readable reason, such as ``overloaded``.
    status
        HTTP status.
    not_run
        Whether the request didn't run; ``TRUE`` only when that is certain.
    retry_after
        Seconds after which the caller may retry, if a retry makes sense.
    """

    def __init__(
        self,
        problem: str,
        remedy: str,
        *,
        reason: str,
        status: int = 503,
        not_run: NotRun = NotRun.TRUE,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(problem, remedy)
        self.reason = reason
        self.status = status
        self.not_run = not_run
        self.retry_after = retry_after
