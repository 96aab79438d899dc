"""Job scheduling: guarantees, placement, gangs and the journal."""

from crocusrouter.jobs.admission import UnsatisfiableGuarantee
from crocusrouter.jobs.admission import check_guarantees
from crocusrouter.jobs.effects import Effects
from crocusrouter.jobs.effects import Explanation
from crocusrouter.jobs.handlers import handle_message
from crocusrouter.jobs.journal import FencedError
from crocusrouter.jobs.journal import Journal
from crocusrouter.jobs.model import Job
from crocusrouter.jobs.model import JobState
from crocusrouter.jobs.model import Member
from crocusrouter.jobs.model import Spec
from crocusrouter.jobs.model import build_job_id
from crocusrouter.jobs.model import choose_data_centre
from crocusrouter.jobs.model import parse_data_centre
from crocusrouter.jobs.outbox import Outbox
from crocusrouter.jobs.placement import NoPlacement
from crocusrouter.jobs.placement import Placement
from crocusrouter.jobs.placement import PlacementContext
from crocusrouter.jobs.placement import PlacementRequest
from crocusrouter.jobs.placement import place_job
from crocusrouter.jobs.scheduler import schedule
from crocusrouter.jobs.scheduler_state import SchedulerState

__all__ = [
    "SchedulerState",
    "Effects",
    "Explanation",
    "FencedError",
    "Job",
    "JobState",
    "Journal",
    "Member",
    "NoPlacement",
    "Outbox",
    "Placement",
    "PlacementContext",
    "PlacementRequest",
    "Spec",
    "UnsatisfiableGuarantee",
    "build_job_id",
    "check_guarantees",
    "choose_data_centre",
    "parse_data_centre",
    "handle_message",
    "place_job",
    "schedule",
]
