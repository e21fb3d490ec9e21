"""Operators' lists, process settings and the configuration in force."""

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
    EntrySettings,
    Peer,
    read_settings,
    split_address,
)

__all__ = [
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
