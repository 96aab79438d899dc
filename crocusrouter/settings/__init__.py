"""Settings of an entry's process, checked when they are loaded."""

from crocusrouter.settings.entry_settings import SETTINGS_FILE_VARIABLE
from crocusrouter.settings.entry_settings import EntrySettings
from crocusrouter.settings.entry_settings import load_entry_settings
from crocusrouter.settings.serve_settings import ServeSettings
from crocusrouter.settings.serve_settings import WrongSettingsError
from crocusrouter.settings.serve_settings import load_serve_settings
from crocusrouter.settings.serve_settings import parse_address

__all__ = [
    "SETTINGS_FILE_VARIABLE",
    "EntrySettings",
    "ServeSettings",
    "WrongSettingsError",
    "load_entry_settings",
    "load_serve_settings",
    "parse_address",
]
