"""Dependencies, authentication and error responses of all resources."""

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
    """The dependencies of the operators' routes."""

    authenticator: Authenticator
    teams: TeamSettingsManager
    explainer: Explainer
    collector: ReportCollector

    def identify(self, request: falcon.Request) -> Identity:
        """Return the identity of the operator who sent a request.

        Raises
        ------
        RefusalError
            The token is missing, unknown or not an operator's.
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
    """Convert guavagate's errors to error responses for operators.

    This is no error handler of falcon, because the same app responds to
    callers with OpenAI's error body.
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
