"""Base class of pages that answer only GET."""

from . import _http
from . import http_server


class Page:
    """Rejects methods other than GET; a subclass answers GET."""

    __slots__ = ()

    def handle_request(
        self,
        connection: http_server.ServerConnection,
        message: _http.Message,
    ) -> None:
        """Handle a request."""
        if message.method == "GET":
            self.get(connection)
        else:
            connection.answer_text(405, "only GET")

    def get(self, connection: http_server.ServerConnection) -> None:
        """Answer a GET."""
        raise NotImplementedError

    def on_disconnect(self, connection: http_server.ServerConnection) -> None:
        """Do nothing: no work is in progress for a closed connection."""
