"""Jobs: guarantees, placement, gangs and the journal."""

from crocusrouter.jobs.admission import Misfit
from crocusrouter.jobs.admission import check_guarantees
from crocusrouter.jobs.book import Book
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
from crocusrouter.jobs.placement import Ask
from crocusrouter.jobs.placement import Placed
from crocusrouter.jobs.placement import Situation
from crocusrouter.jobs.placement import Waits
from crocusrouter.jobs.placement import place
from crocusrouter.jobs.scheduler import schedule

__all__ = [
    "Ask",
    "Book",
    "Effects",
    "Explanation",
    "FencedError",
    "Job",
    "JobState",
    "Journal",
    "Member",
    "Misfit",
    "Outbox",
    "Placed",
    "Situation",
    "Spec",
    "Waits",
    "build_job_id",
    "check_guarantees",
    "choose_data_centre",
    "parse_data_centre",
    "handle_message",
    "place",
    "schedule",
]
