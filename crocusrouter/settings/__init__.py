"""Checked settings of a process."""

from crocusrouter.settings.model import Settings
from crocusrouter.settings.model import WrongSettingsError
from crocusrouter.settings.model import load_settings
from crocusrouter.settings.model import parse_address
from crocusrouter.settings.pools import FILE_VARIABLE
from crocusrouter.settings.pools import EntrySettings
from crocusrouter.settings.pools import load_entry_settings

__all__ = [
    "FILE_VARIABLE",
    "EntrySettings",
    "Settings",
    "WrongSettingsError",
    "load_entry_settings",
    "load_settings",
    "parse_address",
]
