"""The exception tree of sardinewheel."""

from typing import NamedTuple


class Finding(NamedTuple):
    """One thing wrong with an input, and where it stands.

    Attributes:
        place: Path of the offending value, such as ``regions.austro.cap``.
        value: The offending value, as text.
        expected: What was expected there instead.
    """

    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: got {self.value}, expected {self.expected}"


class SardinewheelError(Exception):
    """Base of every error that sardinewheel raises on purpose."""


class FindingsError(SardinewheelError):
    """An input was rejected; carries every finding, not just the first."""

    def __init__(self, findings: tuple[Finding, ...]):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class SettingsError(FindingsError):
    """Settings do not satisfy their schema."""


class ChangeRejectedError(FindingsError):
    """A change cannot be applied to the intent it was based on."""


class CommandError(FindingsError):
    """An operator's command could not be understood or held."""


class RequestError(FindingsError):
    """A caller's request is malformed."""


class MessageError(SardinewheelError):
    """A peer message is malformed, oversized or of an unknown kind."""


class PlatformError(SardinewheelError):
    """The platform's service failed."""


class PlatformUnavailableError(PlatformError):
    """The platform's service did not answer; a write's outcome is unknown."""


class ConflictError(PlatformError):
    """A compare-and-set lost against another writer."""
