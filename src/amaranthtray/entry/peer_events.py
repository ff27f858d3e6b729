"""Routes events of the peer links to the control plane or the serving part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..peers.events import LinkDown, PeerEvent, Received
from ..peers.messages import ForwardCancelled, ForwardReply, ForwardRequest

if TYPE_CHECKING:
    from ..domain.ids import EntryId
    from .control_task import ControlTask
    from .wiring import RequestServing


class PeerEventRouter:
    """Called on the hub's thread; every receiver only queues, so nothing blocks."""

    def __init__(self) -> None:
        self._control: ControlTask | None = None
        self._requests: RequestServing | None = None

    def connect(self, control: ControlTask, requests: RequestServing) -> None:
        """Sets the receivers; events before that are dropped."""
        self._requests = requests
        self._control = control

    def request_link(self, entry: EntryId) -> None:
        """Requests a link from the control plane."""
        if self._control is not None:
            self._control.control.request_link(entry)

    def route(self, event: PeerEvent) -> None:
        """Passes an event to its receiver."""
        control, requests = self._control, self._requests
        if control is None or requests is None:
            return
        match event:
            case Received(entry=entry, message=ForwardRequest() as message):
                requests.home.handle_request(entry, message)
            case Received(message=ForwardCancelled() as message):
                requests.home.cancel(message)
            case Received(entry=entry, message=ForwardReply() as message):
                requests.forwarder.handle_reply(entry, message)
            case LinkDown(entry=entry):
                requests.forwarder.handle_link_down(entry)
                control.put(event)
            case _:
                control.put(event)
