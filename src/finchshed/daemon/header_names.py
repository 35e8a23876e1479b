"""Configurable header names of requests routed by host and of their back ends' answers."""

import msgspec

from finchshed.common.context import HEADER_DEADLINE


class HeaderNames(msgspec.Struct, frozen=True):
    """Header names in lower case. Daemons overwrite the headers marked as set by daemons.

    Attributes
    ----------
    request
        Request ID, forwarded unchanged and echoed in the answer.
    deadline
        Timeout of the sender, in milliseconds; set by daemons.
    caller_service
        Service of the back end that issued the request; set by daemons.
    expected_instance
        Back-end instance the request is for; other instances refuse it. Set by daemons.
    not_run
        Present in an answer if the back end did not run the request.
    load
        In an answer: numbers of running and waiting requests, slots, and optionally the present
        slowdown in percent.
    rate_limit
        In an answer: requests per second that the back end accepts from all callers together.
    draining
        In an answer: ``1`` if the back end is draining.
    instance
        In the answer to a health check: instance of the back end.
    seal
        Present in every complete 2xx answer of the back end; empty if unused.
    api_key
        API key of the caller; not forwarded if tenants are declared.
    tenant
        Name of the tenant the API key belongs to; set by daemons if tenants are declared.
    call_separator
        Not a header: separates the parent's request ID from a suffix in the ID of a call made by a
        back end. Empty if calls aren't linked to their parents.
    """

    request: str = "finchshed-request"
    deadline: str = HEADER_DEADLINE
    caller_service: str = "finchshed-caller-service"
    expected_instance: str = "finchshed-expect-instance"
    not_run: str = "finchshed-not-run"
    load: str = "finchshed-load"
    rate_limit: str = "finchshed-rate-limit"
    draining: str = "finchshed-draining"
    instance: str = "finchshed-instance"
    seal: str = ""
    api_key: str = "x-api-key"
    tenant: str = "finchshed-tenant"
    call_separator: str = ""

    def set_by_daemons(self) -> frozenset[str]:
        """Return the headers set by daemons; those sent by callers are dropped."""
        return frozenset({self.deadline, self.caller_service, self.expected_instance})

    def tenant_headers(self) -> frozenset[str]:
        """Return the headers that are also dropped if tenants are declared."""
        return frozenset({self.api_key, self.tenant})
