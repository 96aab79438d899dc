"""Checks the rules on configuration changes from the answers to callers."""

import collections
import dataclasses
import enum

from standins.emulator import impairment_log as impairment_logs
from standins.emulator import rules

# Rules that this oracle checks.
RULES = frozenset({rules.Rule.CONFIG, rules.Rule.ROUTE_CALLS})

# `config_apply_ms` and `rollback_slack_ms` of the users' sites; the latter is
# eight times as long for an entry that was impaired.
CONFIG_APPLY_S = 2.0
_ROLLBACK_SLACK_S = 0.25
_IMPAIRED_ROLLBACK_SLACK_S = 8 * _ROLLBACK_SLACK_S


class Handling(enum.StrEnum):
    """What the answer to a call tells about the configuration in force."""

    SERVED = "served"
    NO_ROUTE = "no-route"
    NO_KEY = "no-key"
    NOT_DECIDED = "not-decided"


_HANDLING_BY_STATUS = {
    200: Handling.SERVED,
    410: Handling.SERVED,
    404: Handling.NO_ROUTE,
    401: Handling.NO_KEY,
    403: Handling.NO_KEY,
}


def read_status(status: int | None) -> Handling:
    """Return what an HTTP status tells about the configuration in force.

    >>> read_status(404)
    <Handling.NO_ROUTE: 'no-route'>
    """
    if status is None:
        return Handling.NOT_DECIDED
    return _HANDLING_BY_STATUS.get(status, Handling.NOT_DECIDED)


@dataclasses.dataclass(frozen=True)
class ConfigVersion:
    """One version of the configuration that the operators wrote.

    Attributes:
        version: Its number.
        routes: Path prefixes that it routes.
        keys: API keys that it accepts.
        valid: Whether entries may put it in force.
    """

    version: int
    routes: frozenset[str]
    keys: frozenset[str]
    valid: bool = True

    def handle(self, route: str, key: str) -> Handling:
        """Return how a call is handled under this version."""
        if route not in self.routes:
            return Handling.NO_ROUTE
        return Handling.SERVED if key in self.keys else Handling.NO_KEY


@dataclasses.dataclass(frozen=True)
class SentCall:
    """A call that a caller has sent.

    Attributes:
        entry: Name of the called entry.
        incarnation: Number of the incarnation of the entry's process.
        route: Prefix of the path.
        key: The API key of the call.
        sent_at: Seconds.
    """

    entry: str
    incarnation: int
    route: str
    key: str
    sent_at: float


@dataclasses.dataclass(frozen=True)
class AnsweredCall(SentCall):
    """A call and its answer, as the caller sees them.

    Attributes:
        answered_at: Seconds.
        handling: What the answer tells about the configuration.
    """

    answered_at: float
    handling: Handling


class ConfigOracle:
    """Checks the rules on the configuration and collects the broken ones.

    `ImpairmentLog` defines when an entry is in touch.

    Attributes:
        broken: The broken rules, each as one line.
        judged: How many calls were checked.
        excused: How many calls were handled by an outdated version on entries
            that were not in touch, by the reason why they were not.
        undecided: How many answers tell nothing about the configuration.
        unready: How many of these came from entries in touch.
        max_delay_s: Longest time from a version's confirmation to a call that
            an entry in touch handled by an earlier version.
    """

    def __init__(self, impairments: impairment_logs.ImpairmentLog) -> None:
        """Prepare without any version."""
        self.broken: list[str] = []
        self.judged = 0
        self.excused: collections.Counter[str] = collections.Counter()
        self.undecided = 0
        self.unready = 0
        self.max_delay_s = 0.0
        self._impairments = impairments
        self._versions: list[tuple[float, ConfigVersion]] = []
        self._withdrawn: set[int] = set()
        self._versions_seen: dict[tuple[str, int], list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )

    def note_confirmed(self, version: ConfigVersion, now: float) -> None:
        """Record a version whose write the store has confirmed.

        An invalid version replaces the one before in the store. Entries that
        have not had the time to read that one needn't put it in force.
        """
        if not version.valid:
            self._withdrawn |= {
                earlier.version
                for at, earlier in self._versions
                if at > now - CONFIG_APPLY_S
            }
        self._versions.append((now, version))

    def check_answer(
        self, sent_call: SentCall, status: int | None, now: float
    ) -> None:
        """Check a call by the HTTP status of its answer."""
        fields = dataclasses.asdict(sent_call)
        handling = read_status(status)
        self.check_call(
            AnsweredCall(**fields, answered_at=now, handling=handling)
        )

    def check_call(self, call: AnsweredCall) -> None:
        """Check one answered call."""
        if call.handling is Handling.NOT_DECIDED:
            self.undecided += 1
            if not self._impairments.explain_impairment(
                call.entry, call.sent_at
            ):
                self.unready += 1
            return
        self.judged += 1
        matching = self._find_matching_versions(call)
        if not matching:
            self._report(call, "no valid version handles the call like this")
            return
        self._check_delay(call, matching)
        self._check_rollback(call, matching)

    def _find_matching_versions(self, call: AnsweredCall) -> list[int]:
        """Return the versions under which a call may have been handled."""
        return [
            version.version
            for at, version in self._versions
            if version.valid
            and at <= call.answered_at
            and version.handle(call.route, call.key) is call.handling
        ]

    def _check_delay(self, call: AnsweredCall, matching: list[int]) -> None:
        later_confirmed_at = [
            at
            for at, version in self._versions
            if version.valid
            and version.version > max(matching)
            and version.version not in self._withdrawn
        ]
        if not later_confirmed_at:
            return
        delay_s = call.sent_at - min(later_confirmed_at)
        reason = self._impairments.explain_impairment(call.entry, call.sent_at)
        if not reason:
            self.max_delay_s = max(self.max_delay_s, delay_s)
        if delay_s <= CONFIG_APPLY_S:
            return
        if reason:
            self.excused[reason] += 1
        else:
            self._report(
                call,
                f"sent {delay_s:.2f} s after a later version was confirmed",
            )

    def _check_rollback(self, call: AnsweredCall, matching: list[int]) -> None:
        reason = self._impairments.explain_impairment(call.entry, call.sent_at)
        seen_before = call.sent_at - (
            _IMPAIRED_ROLLBACK_SLACK_S if reason else _ROLLBACK_SLACK_S
        )
        seen = self._versions_seen[call.entry, call.incarnation]
        newest_seen = max((v for at, v in seen if at < seen_before), default=0)
        if max(matching) < newest_seen:
            self._report(
                call,
                f"version {newest_seen} had been in force on the entry before",
            )
        if not seen or min(matching) > seen[-1][1]:
            seen.append((call.answered_at, min(matching)))

    def _report(self, call: AnsweredCall, violation: str) -> None:
        self.broken.append(
            f"{call.sent_at:.3f} config: {call.entry} answered {call.handling} "
            f"to {call.route} with key {call.key}: {violation}"
        )
