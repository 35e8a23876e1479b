"""Reads the load page from the components of a daemon."""

from collections.abc import Iterator

from finchshed.daemon.components import DaemonComponents
from finchshed.observability.load_page import (
    EndpointsSection,
    LoadPage,
    ReservationsSection,
    RetriesSection,
    RetrySpendingSection,
    Section,
    SharesSection,
)
from finchshed.routing.endpoint_load import loads_by_service


def read_load_page(components: DaemonComponents, now: float) -> LoadPage:
    """Return the load page; ``now`` is monotonic seconds."""
    state = components.state
    sections = tuple(read_sections(components, now))
    return LoadPage(state.settings.node, state.identity.service, sections)


def read_sections(components: DaemonComponents, now: float) -> Iterator[Section]:
    """Yield the sections in the order in which they are shown.

    Figures of the gate come from ``serving``, those of endpoints from ``state.table``, and those of
    the daemon's own calls from ``ingress.caller``.
    """
    if components.serving is not None:
        callee = components.serving.callee
        yield callee.gate_load()
        if callee.shares is not None:
            yield SharesSection(tuple(callee.shares.display()))
    yield EndpointsSection(loads_by_service(components.state.table.views(), now))
    ingress = components.ingress
    yield RetriesSection(ingress.caller.retry_tokens(now))
    if spending := ingress.caller.retry_figures():
        yield RetrySpendingSection(spending)
    if ingress.host_handler.returns.is_enabled:
        yield ReservationsSection(tuple(ingress.host_handler.returns.figures()))
