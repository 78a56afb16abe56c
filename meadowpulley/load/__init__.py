"""Load: arrivals at gateways, captured or synthesized, in one versioned format.

Reading order: `arrivals` (an arrival and the file format), `profiles` (synthesized loads), `edit` (scaling
and splicing), `summary` (figures of a load).
"""

from meadowpulley.load.arrivals import Arrival, Header, LoadError, LoadReader, read_load, write_load
from meadowpulley.load.edit import costlier, cut, filled_in, merged, scaled, spliced, stretched
from meadowpulley.load.profiles import PROFILES, Profile, synthesize
from meadowpulley.load.summary import ClassSummary, LoadSummary, summarize

__all__ = [
    "PROFILES",
    "Arrival",
    "ClassSummary",
    "Header",
    "LoadError",
    "LoadReader",
    "LoadSummary",
    "Profile",
    "costlier",
    "cut",
    "filled_in",
    "merged",
    "read_load",
    "scaled",
    "spliced",
    "stretched",
    "summarize",
    "synthesize",
    "write_load",
]
