"""Scheduling core: the state of a pool, and the decisions based on it."""

from crocusrouter.work.closures import count_runs_in_closed
from crocusrouter.work.closures import measure_shortfall
from crocusrouter.work.closures import set_closed_data_centres
from crocusrouter.work.crashes import note_lapsed
from crocusrouter.work.crashes import note_replaced
from crocusrouter.work.crashes import note_silent
from crocusrouter.work.gang_progress import check_gangs
from crocusrouter.work.model import FINAL
from crocusrouter.work.model import Job
from crocusrouter.work.model import Room
from crocusrouter.work.model import State
from crocusrouter.work.model import Step
from crocusrouter.work.model import StepKey
from crocusrouter.work.model import TaskKey
from crocusrouter.work.pacing import choose_paces
from crocusrouter.work.planner import Placement
from crocusrouter.work.planner import Plan
from crocusrouter.work.planner import plan
from crocusrouter.work.planner_policy import PlannerPolicy
from crocusrouter.work.policy_questions import PolicyQuestion
from crocusrouter.work.policy_questions import choose_question
from crocusrouter.work.pool_state import PoolState
from crocusrouter.work.progress import Progress
from crocusrouter.work.progress import dump_progress
from crocusrouter.work.progress import parse_progress
from crocusrouter.work.replacement import add_successor
from crocusrouter.work.replacement import map_incarnations
from crocusrouter.work.reports import apply_report
from crocusrouter.work.tracking import TrackedJob

__all__ = [
    "FINAL",
    "PoolState",
    "Job",
    "TrackedJob",
    "Placement",
    "Plan",
    "PlannerPolicy",
    "Progress",
    "PolicyQuestion",
    "Room",
    "State",
    "Step",
    "StepKey",
    "TaskKey",
    "add_successor",
    "check_gangs",
    "choose_paces",
    "choose_question",
    "count_runs_in_closed",
    "dump_progress",
    "map_incarnations",
    "measure_shortfall",
    "note_lapsed",
    "note_replaced",
    "note_silent",
    "parse_progress",
    "plan",
    "set_closed_data_centres",
    "apply_report",
]
