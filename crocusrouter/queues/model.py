"""One version of the operators' configuration of queues."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Queue:
    """Where jobs of one kind are handed in.

    Attributes:
        name: Unique name; jobs refer to it.
        host: The `Host` header that selects it, without a port.
        prefix: Start of the path; the longest one that fits goes first.
        pool: The service whose workers run its tasks.
        priority: 0 goes first and may preempt the others.
        max_attempts: Failed attempts after which a task's job fails.
        slack: The objective is this many times the job's longest chain of
            work, and `target_s` more.
        target_s: Seconds.
        public: Whether calls need no key.
        advised: Whether a policy service says which workers may run a step.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    slack: float = 1.0
    target_s: float = 0.0
    public: bool = False
    advised: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A pool of workers.

    Attributes:
        name: Its name.
        checks_room: Whether its workers refuse what does not fit.
        standby: Whether its VMs are switched off.
    """

    name: str
    checks_room: bool = True
    standby: bool = False


@dataclasses.dataclass(frozen=True)
class Customer:
    """Who hands jobs in.

    Attributes:
        name: Its name.
        keys: Keys that its calls may carry.
        guaranteed: Accelerators that belong to its jobs of priority 0.
    """

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed: int = 0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on what callers send; sizes in bytes."""

    max_body: int = 262_144


@dataclasses.dataclass(frozen=True)
class Config:
    """All of it, at one version; versions only rise."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    customers: dict[str, Customer] = dataclasses.field(default_factory=dict)
    limits: Limits = Limits()


def find_queue(config: Config, host: str, path: str) -> Queue | None:
    """Return the queue of the longest prefix of `path` at `host`.

    >>> config = Config(1, (Queue("a", "h", "/x/", "p"),))
    >>> find_queue(config, "h:80", "/x/1").name
    'a'
    >>> find_queue(config, "h", "/y/1") is None
    True
    """
    plain = host.partition(":")[0].lower()
    fitting = [
        queue
        for queue in config.queues
        if queue.host == plain and path.startswith(queue.prefix)
    ]
    return max(fitting, key=lambda queue: len(queue.prefix), default=None)


def split_path(queue: Queue, path: str) -> str:
    """Return what follows the queue's prefix: a job's id, or nothing.

    >>> split_path(Queue("a", "h", "/x/", "p"), "/x/0a")
    '0a'
    """
    return path[len(queue.prefix) :]


def find_customer(config: Config, key: str) -> Customer | None:
    """Return the customer that holds `key`."""
    for customer in config.customers.values():
        if key in customer.keys:
            return customer
    return None
