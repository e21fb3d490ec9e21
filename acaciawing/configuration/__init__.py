"""Operators' lists, process settings and the configuration in force."""

from acaciawing.configuration.check import (
    CheckedLists,
    check_files,
    check_lists,
)
from acaciawing.configuration.document import Source, read_source
from acaciawing.configuration.findings import Code, Finding, Findings, Place
from acaciawing.configuration.model import (
    Configuration,
    ConfigurationIndex,
    Customer,
    Plan,
    Service,
    index,
)
from acaciawing.configuration.publication import (
    NO_VERSION,
    ConfigurationPublished,
    ConfigurationState,
)
from acaciawing.configuration.settings import (
    CheckedSettings,
    EntrySettings,
    InvalidSettingsError,
    Peer,
    check_settings,
    is_url,
    read_settings,
    split_address,
)

__all__ = [
    "CheckedLists",
    "check_files",
    "check_lists",
    "Source",
    "read_source",
    "Code",
    "Finding",
    "Findings",
    "Place",
    "CheckedSettings",
    "InvalidSettingsError",
    "check_settings",
    "is_url",
    "NO_VERSION",
    "Configuration",
    "ConfigurationIndex",
    "ConfigurationPublished",
    "ConfigurationState",
    "Customer",
    "EntrySettings",
    "Peer",
    "Plan",
    "Service",
    "index",
    "read_settings",
    "split_address",
]
