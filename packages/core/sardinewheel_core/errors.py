"""Exceptions raised by sardinewheel."""

from typing import NamedTuple


class Finding(NamedTuple):
    """One validation error and the path of the invalid value.

    Attributes:
        place: Path of the invalid value, such as ``regions.austro.cap``.
        value: The invalid value, as text.
        expected: Description of valid values.
    """

    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: got {self.value}, expected {self.expected}"


class SardinewheelError(Exception):
    """Base class of the errors that sardinewheel defines."""


class FindingsError(SardinewheelError):
    """An input was rejected; carries all findings, not just the first."""

    def __init__(self, findings: tuple[Finding, ...]):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class SettingsError(FindingsError):
    """Settings do not conform to their schema."""


class ChangeRejectedError(FindingsError):
    """A change cannot be applied to an intent."""


class CommandError(FindingsError):
    """An operator's command is malformed, too long or not allowed."""


class RequestError(FindingsError):
    """A caller's request is malformed."""


class MessageError(SardinewheelError):
    """A message or stored row is malformed, oversized or of an unknown type."""


class PlatformError(SardinewheelError):
    """A platform service failed."""


class PlatformUnavailableError(PlatformError):
    """A platform service did not answer; a write may have taken effect."""


class ConflictError(PlatformError):
    """A compare-and-set failed because another writer changed the value."""
