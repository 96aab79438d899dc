"""Workers as their data centre's owner knows them."""

import dataclasses

from crocusrouter.jobs import blame as blames


@dataclasses.dataclass
class Worker:
    """A worker as its owner knows it.

    Attributes:
        name: Its name.
        rack: Its rack.
        accelerators: How many it has.
        known: Whether it told this owner what it holds. Until then nothing
            is placed on it: an earlier owner's tasks may still run there.
        live: Whether the VM list shows it as staying.
        strays: Tasks that it holds and no gang accounts for.
        blame: What speaks against it.
    """

    name: str
    rack: str
    accelerators: int
    known: bool = False
    live: bool = True
    strays: dict[tuple[str, int], int] = dataclasses.field(default_factory=dict)
    blame: blames.Blame = dataclasses.field(default_factory=blames.Blame)
