"""Interface of the sources of configuration and target updates."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sardinewheel_gateway.store_sync import StoreSync


class UpdateSource(Protocol):
    """A store that operators and targets write to."""

    def run(self, sync: "StoreSync") -> None:
        """Reads updates from the store; never returns.

        Reads while ``sync.follows_store()`` is true and passes updates to
        ``sync.heard_from_store``. Reports failed reads and recovery through
        ``sync.source_lost`` and ``sync.source_returned``.

        Args:
            sync: Applies the updates and forwards them to other hosts.
        """
