"""Names of the headers that requests taken by host and their back ends carry."""

import msgspec

from finchshed.common.context import HEADER_DEADLINE


class HeaderNames(msgspec.Struct, frozen=True):
    """Names, in lower case; a deployment that speaks others gives its own.

    Attributes
    ----------
    request
        Identity of a request, passed on unchanged; an answer gives it back.
    deadline
        Milliseconds that the sender will wait.
    caller_service
        Service of the back end beside which a request began; set whatever was sent.
    expected_instance
        Start of the back end that a request is for; any other refuses it.
    not_run
        On an answer: the back end did not run the request.
    load
        On an answer: requests running and waiting, and slots.
    instance
        On the answer to a check of health: start of the back end.
    seal
        On an answer of status 2xx: the back end's mark that it is whole; empty: there is none.
    api_key
        A caller's API key; not passed on where tenants are declared.
    tenant
        Name of the tenant that holds the caller's key; set, where tenants are declared, whatever
        was sent.
    call_separator
        A back end that calls on gives its call the identity of the request it serves, this, and
        something of its own; empty: nothing ties a call to the request it is made for.
    """

    request: str = "finchshed-request"
    deadline: str = HEADER_DEADLINE
    caller_service: str = "finchshed-caller-service"
    expected_instance: str = "finchshed-expect-instance"
    not_run: str = "finchshed-not-run"
    load: str = "finchshed-load"
    instance: str = "finchshed-instance"
    seal: str = ""
    api_key: str = "x-api-key"
    tenant: str = "finchshed-tenant"
    call_separator: str = ""

    def set_by_daemons(self) -> frozenset[str]:
        """Return the names that daemons set; what a caller sent under them is dropped."""
        return frozenset({self.deadline, self.caller_service, self.expected_instance})

    def tenant_headers(self) -> frozenset[str]:
        """Return the names that are dropped as well where tenants are declared."""
        return frozenset({self.api_key, self.tenant})
