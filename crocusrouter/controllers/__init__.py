"""Controllers of a `serve` entry: the loops that keep its state up to date.

They watch the configuration, read the VM list, exchange heartbeats with the
other entries, and acquire and run the ownership of data centres.
"""

from crocusrouter.controllers.catalog_edits import AppliedEdit
from crocusrouter.controllers.closures import apply_closure
from crocusrouter.controllers.closures import list_guaranteed_customers
from crocusrouter.controllers.closures import remove_closure
from crocusrouter.controllers.configuration import Configuration
from crocusrouter.controllers.entry import Entry
from crocusrouter.controllers.owner import describe_owner
from crocusrouter.controllers.template_edits import apply_edit
from crocusrouter.controllers.template_edits import check_edit
from crocusrouter.controllers.template_edits import list_versions

__all__ = [
    "Configuration",
    "AppliedEdit",
    "Entry",
    "apply_closure",
    "apply_edit",
    "check_edit",
    "describe_owner",
    "list_guaranteed_customers",
    "list_versions",
    "remove_closure",
]
