"""Admission control at a target: concurrency limit, priority queue and shed level."""

from .admission import Admission
from .decision import Decision, Refuse, Start
from .limit import AdaptiveLimit
from .outcome import Outcome
from .shed_level import ALL_SHED, NOTHING_SHED, ShedLevel, stricter
from .shed_level_table import ShedLevelTable
from .work import ROOT_HASH_SPAN, Work, hash_of_root

__all__ = [
    "ALL_SHED",
    "NOTHING_SHED",
    "ROOT_HASH_SPAN",
    "AdaptiveLimit",
    "Admission",
    "Decision",
    "ShedLevelTable",
    "Outcome",
    "Refuse",
    "ShedLevel",
    "Start",
    "Work",
    "hash_of_root",
    "stricter",
]
