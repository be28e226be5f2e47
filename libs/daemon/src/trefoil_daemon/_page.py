"""A page that answers GET and nothing else."""

from . import _http
from . import http_server


class Page:
    """Takes HTTP requests; a subclass answers GET."""

    __slots__ = ()

    def take(
        self,
        connection: http_server.ServerConnection,
        message: _http.Message,
    ) -> None:
        """Take a request."""
        if message.method == "GET":
            self.get(connection)
        else:
            connection.answer_own(405, "only GET")

    def get(self, connection: http_server.ServerConnection) -> None:
        """Answer a GET."""
        raise NotImplementedError

    def gone(self, connection: http_server.ServerConnection) -> None:
        """Nothing is owed to a sender that went away."""
