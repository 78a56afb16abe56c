"""Load: arrivals at gateways, captured or made, in one versioned form that every rig plays.

Reading order: `arrivals` (one arrival, and the file of them), `profiles` (made loads), `edit` (scaling and
splicing), `summary` (what a load holds).
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
