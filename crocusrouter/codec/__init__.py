"""Encoding of typed messages as CBOR, and the websockets that carry them."""

from crocusrouter.codec.dialing import dial
from crocusrouter.codec.dialing import keep_connected
from crocusrouter.codec.registry import BadMessageError
from crocusrouter.codec.registry import Registry
from crocusrouter.codec.registry import pack
from crocusrouter.codec.registry import unpack

__all__ = [
    "BadMessageError",
    "Registry",
    "dial",
    "keep_connected",
    "pack",
    "unpack",
]
