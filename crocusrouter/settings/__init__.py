"""Checked settings of a process."""

from crocusrouter.settings.model import Settings
from crocusrouter.settings.model import WrongSettingsError
from crocusrouter.settings.model import load_settings
from crocusrouter.settings.model import parse_address

__all__ = ["Settings", "WrongSettingsError", "load_settings", "parse_address"]
