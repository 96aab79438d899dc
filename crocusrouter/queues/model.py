"""The operators' configuration: queues, services, customers and limits."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Queue:
    """A host and path prefix for submitting jobs, with their policy.

    Attributes:
        name: Unique name; jobs refer to it.
        host: The `Host` header that selects it, without a port.
        prefix: Start of the path; the longest matching prefix wins.
        pool: The service whose workers run the queue's tasks.
        priority: 0 is the highest and may preempt all others.
        max_attempts: Failed attempts of one task after which its job fails.
        slack: Factor of the completion-time objective, which is `slack` times
            the duration of the job's critical path, plus `target_s`.
        target_s: Constant part of the objective in seconds.
        public: Whether calls need no API key.
        advised: Whether the policy service selects the workers that may run a
            step.
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
        name: Unique name.
        checks_admission: Whether its workers reject tasks that exceed their
            free capacity.
        standby: Whether its VMs are switched off.
    """

    name: str
    checks_admission: bool = True
    standby: bool = False


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer that submits jobs.

    Attributes:
        name: Unique name.
        api_keys: Keys that authenticate its calls.
        guaranteed_accelerators: Number reserved for its jobs of priority 0.
    """

    name: str
    api_keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on what callers send; sizes in bytes."""

    max_body_bytes: int = 262_144


@dataclasses.dataclass(frozen=True)
class Config:
    """One version of the configuration; versions only increase."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    customers: dict[str, Customer] = dataclasses.field(default_factory=dict)
    limits: Limits = Limits()


def find_queue(config: Config, host: str, path: str) -> Queue | None:
    """Return the queue with the longest prefix that matches at `host`.

    >>> config = Config(1, (Queue("a", "h", "/x/", "p"),))
    >>> find_queue(config, "h:80", "/x/1").name
    'a'
    >>> find_queue(config, "h", "/y/1") is None
    True
    """
    hostname = host.partition(":")[0].lower()
    matching_queues = [
        queue
        for queue in config.queues
        if queue.host == hostname and path.startswith(queue.prefix)
    ]
    return max(
        matching_queues, key=lambda queue: len(queue.prefix), default=None
    )


def strip_prefix(queue: Queue, path: str) -> str:
    """Return `path` without the queue's prefix: a job's id, or nothing.

    >>> strip_prefix(Queue("a", "h", "/x/", "p"), "/x/0a")
    '0a'
    """
    return path[len(queue.prefix) :]


def find_customer(config: Config, api_key: str) -> Customer | None:
    """Return the customer with this API key, or None."""
    for customer in config.customers.values():
        if api_key in customer.api_keys:
            return customer
    return None
