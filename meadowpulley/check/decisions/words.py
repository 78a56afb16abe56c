"""The steps of world A in the users' words."""

from __future__ import annotations

from typing import Any

from meadowpulley.check.decisions.state import State
from meadowpulley.check.scenes import CLASSES
from meadowpulley.check.worlds import Step
from meadowpulley.interface import RolloutUpdate

OUTCOMES = {
    "ok": "answers",
    "error": "answers with an error",
    "reset": "breaks the connection after the last byte",
    "full": "turns it away as full",
    "connect_failed": "breaks the connection before the last byte",
}


def news_text(news: RolloutUpdate) -> str:
    phase = news.phase.name.lower().replace("_", " ")
    return f"build {news.build} {phase}, stage {news.stage + 1}, cap {news.cap:g}"


def text_of(world: State, step: Step) -> str:
    who: list[Any] = list(step.who)
    if step.do == "ask":
        cls, key = world.scene.kinds[who[1] % len(world.scene.kinds)]
        with_key = f" with key {key}" if key else ""
        return f"a client sends gateway {who[0]} a {CLASSES[cls].name}{with_key}"
    if step.do == "outcome":
        server = world.hosts[who[0]].asked[who[1]].out[who[2]].server
        return f"server {server} {OUTCOMES[who[3]]}: request {who[1]} of gateway {who[0]}"
    if step.do == "wait":
        place = {"before": "just before", "at": "to", "after": "just past", "later": "well past"}[who[1]]
        return f"time goes on {place} the next {who[0]}"
    if step.do == "news":
        return f"gateway {who[0]} hears: {news_text(world.hosts[who[0]].news_due[who[1]])}"
    if step.do == "lose_news":
        return (
            f"news is lost on its way to gateway {who[0]}: {news_text(world.hosts[who[0]].news_due[who[1]])}"
        )
    texts = {
        "answered": "server has answered request {1} of gateway {0}; the answer is under way",
        "late": "a server answers an attempt that gateway {0} has given up",
        "leave": "the client of request {1} leaves gateway {0}",
        "drain": "server {0} begins to drain",
        "gone": "server {0} is gone",
        "return": "server {0} starts anew with build {1}",
        "list": "gateway {0} hears list {1}",
        "list_failed": "a list call of gateway {0} fails",
        "whole_list": "gateway {0} hears the whole list as it is now",
        "stage": "the platform moves the build on",
        "call_back": "the platform calls the build back",
        "withdraw": "the platform has withdrawn the build",
        "count": "the platform counts a vote of gateway {0}",
        "lose_vote": "a vote of gateway {0} is lost, {2}",
        "datagram": "a datagram of gateway {0} arrives",
        "lose_datagram": "a datagram of gateway {0} is lost",
        "repeat_datagram": "a datagram of gateway {0} arrives, and will again",
        "kill": "gateway {0} is killed and starts anew with list {1}",
    }
    return texts[step.do].format(*who)
