"""Encoding of typed messages and records as CBOR."""

from crocusrouter.codec.registry import BadMessageError
from crocusrouter.codec.registry import Registry
from crocusrouter.codec.registry import pack
from crocusrouter.codec.registry import unpack

__all__ = ["BadMessageError", "Registry", "pack", "unpack"]
