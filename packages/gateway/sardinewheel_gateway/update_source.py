"""Interface of the sources of configuration and target updates."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sardinewheel_gateway.store_sync import StoreSync


class UpdateSource(Protocol):
    """A store that operators and targets write to."""

    def run(self, sync: "StoreSync") -> None:
        """Reads updates from the store; never returns.

        Reads while ``sync.should_follow_store()`` is true and passes updates to
        ``sync.apply_store_update``. Reports failed reads and recovery through
        ``sync.record_table_failure`` and ``sync.record_table_recovery``.

        Args:
            sync: Applies the updates and forwards them to other hosts.
        """
