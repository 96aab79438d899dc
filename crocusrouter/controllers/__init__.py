"""Controllers: loops that keep shared state in line."""

from crocusrouter.controllers.configuration import Configuration
from crocusrouter.controllers.edits import Edited
from crocusrouter.controllers.edits import apply_edit
from crocusrouter.controllers.edits import check_edit
from crocusrouter.controllers.edits import list_versions
from crocusrouter.controllers.entry import Entry
from crocusrouter.controllers.owner import describe_owner

__all__ = [
    "Configuration",
    "Edited",
    "Entry",
    "apply_edit",
    "check_edit",
    "describe_owner",
    "list_versions",
]
