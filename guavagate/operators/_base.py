"""What all operators' resources share: their parts, and who asks."""

import dataclasses
from collections.abc import Callable
from typing import Any, Concatenate, ParamSpec, TypeVar

import falcon

from guavagate.auth import Authenticator, Identity
from guavagate.exceptions import GuavagateError
from guavagate.explain import Explainer
from guavagate.operators._answers import write_error
from guavagate.operators._collect import ReportCollector
from guavagate.settings import Role, TeamSettingsManager

_Params = ParamSpec('_Params')
_Resource = TypeVar('_Resource')


@dataclasses.dataclass(frozen=True)
class OperatorServices:
    """The parts that the operators' routes answer from."""

    authenticator: Authenticator
    teams: TeamSettingsManager
    explainer: Explainer
    collector: ReportCollector

    def identify(self, request: falcon.Request) -> Identity:
        """Return the operator who asks.

        Raises
        ------
        RefusalError
            No token, or not an operator's.
        """
        identity = self.authenticator.identify(request.auth)
        identity.require(Role.OPERATOR)
        return identity


_Responder = Callable[
    Concatenate[_Resource, falcon.Request, falcon.Response, _Params], None
]


def handle_errors(
    responder: '_Responder[_Resource, _Params]',
) -> '_Responder[_Resource, _Params]':
    """Answer guavagate's errors in the operators' form.

    Callers get OpenAI's error body from the same app, so this can't be one of
    falcon's handlers.
    """

    def respond(
        resource: _Resource,
        request: falcon.Request,
        response: falcon.Response,
        *args: Any,
        **params: Any,
    ) -> None:
        try:
            responder(resource, request, response, *args, **params)
        except GuavagateError as error:
            write_error(request, response, error, params)

    respond.__doc__ = responder.__doc__
    return respond
