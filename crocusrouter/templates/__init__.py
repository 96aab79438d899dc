"""Customers' templates, their catalog, history and differences."""

from crocusrouter.templates.catalog import Catalog
from crocusrouter.templates.catalog import VersionedTemplate
from crocusrouter.templates.catalog import close_data_centre
from crocusrouter.templates.catalog import dump_catalog
from crocusrouter.templates.catalog import open_data_centre
from crocusrouter.templates.catalog import parse_catalog
from crocusrouter.templates.catalog import replace_template
from crocusrouter.templates.differences import Difference
from crocusrouter.templates.differences import compare_templates
from crocusrouter.templates.history import TemplateVersion
from crocusrouter.templates.history import build_version_name
from crocusrouter.templates.history import dump_version
from crocusrouter.templates.history import parse_version
from crocusrouter.templates.model import Cell
from crocusrouter.templates.model import InvalidTemplateError
from crocusrouter.templates.model import JobKind
from crocusrouter.templates.model import Level
from crocusrouter.templates.model import Loss
from crocusrouter.templates.model import PlacementWeights
from crocusrouter.templates.model import RequestKind
from crocusrouter.templates.model import Template
from crocusrouter.templates.model import describe_errors
from crocusrouter.templates.model import dump_template
from crocusrouter.templates.model import parse_template

__all__ = [
    "Catalog",
    "Cell",
    "Difference",
    "InvalidTemplateError",
    "JobKind",
    "Level",
    "Loss",
    "RequestKind",
    "Template",
    "TemplateVersion",
    "VersionedTemplate",
    "PlacementWeights",
    "close_data_centre",
    "compare_templates",
    "describe_errors",
    "dump_catalog",
    "dump_template",
    "dump_version",
    "build_version_name",
    "open_data_centre",
    "parse_catalog",
    "parse_template",
    "parse_version",
    "replace_template",
]
