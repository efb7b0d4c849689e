"""Where news of operators and targets come from, behind one interface."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sardinewheel_gateway.news import News


class Source(Protocol):
    """A place that operators and targets write to."""

    def run(self, news: "News") -> None:
        """Tells what is written there, for ever.

        It reads while ``news.follows_store()`` says so, tells updates by
        ``news.heard_from_store``, and says by ``news.source_lost`` and
        ``news.source_returned`` when it can't read.

        Args:
            news: Takes the updates, and passes them on to other hosts.
        """
