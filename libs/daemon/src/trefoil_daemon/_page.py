"""Base class of pages that answer only GET."""

from . import _http
from . import exchanges


class Page:
    """Rejects methods other than GET; a subclass answers GET."""

    __slots__ = ()

    def handle_request(
        self,
        exchange: exchanges.Exchange,
        message: _http.Message,
    ) -> None:
        """Handle a request."""
        if message.method == "GET":
            self.get(exchange)
        else:
            exchange.answer_text(405, "only GET")

    def get(self, exchange: exchanges.Exchange) -> None:
        """Answer a GET."""
        raise NotImplementedError

    def may_overlap(self, message: _http.Message) -> bool:
        """Return False: requests are handled one after the other."""
        return False

    def on_disconnect(self, exchange: exchanges.Exchange) -> None:
        """Do nothing: no work is in progress for a closed connection."""
