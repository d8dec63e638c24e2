"""The lines of the page on capacity: what is needed, what a failure stops, which figures were handed on. Each
names the points that it is worked out from (`needs.py`); none holds a measured number of its own.
"""

from collections.abc import Callable, Sequence

from ledgehitch.scale.needs import NONE_YET, Before, Book, Loss, Need, Select, Unit
from ledgehitch.scale.target import DAY, Target

# ---- what is needed ----------------------------------------------------------------------------------------


def _gateway(phase: str) -> Select:
    return Select("real", "data-path", "platform-gateway", phase)


def _cores(t: Target) -> float:
    return t.readings.gateway_cores


ONE_PROCESS = "one process, one core (`platform/`)"
ALL_POLLED = "`select.poll` over all (`loop/`)"
PATH = "gateway's data path"
DATA_PATH = (
    Need(
        PATH,
        "connections that just play, CPU",
        _gateway("idle"),
        "cpu_s_per_s",
        "core",
        lambda t: t.connections_each,
        ONE_PROCESS,
        _cores,
    ),
    Need(
        PATH,
        "connections that just play, memory",
        _gateway("idle"),
        "memory_bytes",
        "bytes",
        lambda t: t.connections_each,
        ONE_PROCESS,
        lambda t: t.readings.gateway_memory_bytes,
    ),
    Need(
        PATH,
        "turns of the loop with one word each, CPU",
        _gateway("turns"),
        "cpu_s_per_turn",
        "core",
        lambda t: t.connections_each,
        ALL_POLLED,
        _cores,
        lambda t: t.readings.turns_per_s,
        "turns/s",
    ),
    Need(
        PATH,
        "the poll alone, asleep between words, CPU",
        Select("call", "data-path", "poll", "poll-sleeps"),
        "cpu_s_per_turn",
        "core",
        lambda t: t.connections_each,
        ALL_POLLED,
        _cores,
        lambda t: t.readings.turns_per_s,
        "turns/s",
    ),
    Need(
        PATH,
        "the poll alone, if it were epoll, CPU",
        Select("call", "data-path", "poll", "epoll-sleeps"),
        "cpu_s_per_turn",
        "core",
        lambda t: t.connections_each,
        f"{NONE_YET}: epoll",
        _cores,
        lambda t: t.readings.turns_per_s,
        "turns/s",
    ),
    Need(
        PATH,
        "deliveries, all in one turn, CPU",
        _gateway("ends-at-once"),
        "cpu_s_per_delivery",
        "core",
        lambda t: t.connections_each,
        ONE_PROCESS,
        _cores,
        lambda t: t.deliveries_each,
        "deliveries/s",
    ),
    Need(
        PATH,
        "deliveries, were each in a turn of its own, CPU",
        _gateway("ends-one-by-one"),
        "cpu_s_per_delivery",
        "core",
        lambda t: t.connections_each,
        ALL_POLLED,
        _cores,
        lambda t: t.deliveries_each,
        "deliveries/s",
    ),
    Need(
        PATH,
        "rungs set, CPU",
        _gateway("rungs"),
        "cpu_s_per_delivery",
        "core",
        lambda t: t.connections_each,
        ONE_PROCESS,
        _cores,
        lambda t: t.deliveries_each,
        "deliveries/s",
    ),
    Need(
        PATH,
        "one word to four fifths of its sessions, p99",
        _gateway("ends-at-once"),
        "p99_s",
        "s",
        lambda t: t.connections_each,
        ONE_PROCESS,
        lambda t: t.delivery_within_s,
    ),
    Need(
        PATH,
        "one word to the largest topic's part here, spread evenly, p99",
        _gateway("ends-at-once"),
        "p99_s",
        "s",
        lambda t: t.topic_words[0] / 0.8,
        ONE_PROCESS,
        lambda t: t.delivery_within_s,
    ),
    Need(
        PATH,
        "module with sessions that just play, CPU",
        Select("call", "data-path", "module", "playing"),
        "cpu_s_per_s",
        "core",
        lambda t: t.connections_each,
        "`brain.py`",
        _cores,
    ),
    Need(
        PATH,
        "module with sessions that just play, memory",
        Select("call", "data-path", "module", "playing"),
        "memory_bytes",
        "bytes",
        lambda t: t.connections_each,
        "`brain.py`",
        lambda t: t.readings.gateway_memory_bytes,
    ),
)

Limit = Callable[[Target], float]
OF_CONTROL: dict[str, tuple[str, Unit, Limit | None]] = {
    "messages_out_per_s": ("messages out", "messages/s", None),
    "cpu_s_per_s": ("CPU", "core", lambda t: t.control.cpu_s_per_s),
    "bytes_per_s": ("bytes out and in, with heads", "bytes/s", lambda t: t.control.bytes_per_s),
    "memory_bytes": ("memory", "bytes", lambda t: t.control.memory_bytes),
}


def _control(
    role: str,
    kind: str,
    mechanism: str,
    phase: str,
    words: str,
    figures: Sequence[str],
    carried: str,
    place: str = "control",
) -> list[Need]:
    out = []
    for figure in figures:
        what, unit, allowed = OF_CONTROL[figure]
        out.append(
            Need(
                role,
                f"{words}, {what}",
                Select(kind, place, mechanism, phase),
                figure,
                unit,
                lambda t: float(t.gateways),
                carried,
                allowed,
            )
        )
    return out


MEMBERS, OWNERS, BUDGETS = "membership (`members/`)", "leases (`owners/`)", "loans (`budgets/`)"
ALL = "membership, leases, budgets together (`daemon/`)"
PHASES = {
    "start": "start of all",
    "quiet": "quiet",
    "restarts": "a day's restarts in ten minutes",
    "rack-lost": "a rack lost",
    "zone-lost": "a zone lost",
    "region-lost": "a region lost",
    "regions-apart": "regions apart",
}
GATEWAYS_CONTROL = "gateway's control"
LIMITED = ("cpu_s_per_s", "bytes_per_s", "memory_bytes")
CONTROL = (
    *_control(
        GATEWAYS_CONTROL,
        "virtual",
        "membership",
        "quiet",
        "membership, virtual time, quiet",
        ("cpu_s_per_s", "bytes_per_s", "messages_out_per_s"),
        MEMBERS,
    ),
    *_control(
        GATEWAYS_CONTROL,
        "virtual",
        "membership",
        "sixth-killed",
        "membership, virtual time, a sixth killed at once",
        ("cpu_s_per_s", "bytes_per_s"),
        MEMBERS,
    ),
    *_control(
        GATEWAYS_CONTROL,
        "virtual",
        "membership",
        "start-of-all",
        "membership, virtual time, start of all",
        ("cpu_s_per_s", "bytes_per_s"),
        MEMBERS,
    ),
    *_control(
        GATEWAYS_CONTROL,
        "virtual",
        "owners",
        "quiet",
        "leases, virtual time, quiet",
        ("cpu_s_per_s", "bytes_per_s", "messages_out_per_s"),
        OWNERS,
    ),
    *_control(
        GATEWAYS_CONTROL,
        "virtual",
        "owners",
        "start-of-all",
        "leases, virtual time, start of all",
        ("cpu_s_per_s", "bytes_per_s"),
        OWNERS,
    ),
    *[
        need
        for phase, words in PHASES.items()
        for need in _control(
            GATEWAYS_CONTROL, "real", "all", phase, f"all of it, real members, {words}", LIMITED, ALL
        )
    ],
    *_control(
        GATEWAYS_CONTROL,
        "real",
        "all",
        "quiet",
        "all of it, real members, quiet",
        ("messages_out_per_s",),
        ALL,
    ),
    Need(
        GATEWAYS_CONTROL,
        "a changed site checked by each, CPU",
        Select("call", "control", "configuration", "check"),
        "cpu_s_per_change",
        "core",
        lambda t: float(t.gateways),
        f"each evaluates all of it (`config/`); what carries a change to all: {NONE_YET}",
        lambda t: t.control.cpu_s_per_s,
        lambda t: t.changes_per_day / DAY,
        "changes/s",
    ),
    Need(
        GATEWAYS_CONTROL,
        "a changed site checked by each, time",
        Select("call", "control", "configuration", "check"),
        "cpu_s_per_change",
        "s",
        lambda t: float(t.gateways),
        f"each evaluates all of it (`config/`); what carries a change to all: {NONE_YET}",
        lambda t: t.change_within_s,
    ),
    Need(
        GATEWAYS_CONTROL,
        "a changed site checked by each, memory meanwhile",
        Select("call", "control", "configuration", "check"),
        "memory_bytes",
        "bytes",
        lambda t: float(t.gateways),
        "each evaluates all of it (`config/`)",
        lambda t: t.control.memory_bytes,
    ),
    Need(
        GATEWAYS_CONTROL,
        "verdicts, CPU",
        Select("real", "control", "verdicts", "quiet"),
        "cpu_s_per_s",
        "core",
        lambda t: float(t.gateways),
        "`quality/`",
        lambda t: t.control.cpu_s_per_s,
    ),
)
OWNER = (
    Need(
        "owner of `budgets`",
        "lending, one budget, virtual time, CPU",
        Select("virtual", "owner", "budgets", "quiet"),
        "lender_cpu_s_per_s",
        "core",
        lambda t: float(t.gateways),
        BUDGETS,
        lambda t: t.control.cpu_s_per_s,
    ),
    *_control(
        "owner of duties",
        "real",
        "all",
        "quiet",
        "a real owner, all of its control, quiet",
        (*LIMITED, "messages_out_per_s"),
        OWNERS,
        "owner",
    ),
    *_control(
        "owner of duties",
        "hollow",
        "all",
        "quiet",
        "a hollow owner, all of its control, quiet",
        ("bytes_per_s",),
        OWNERS,
        "owner",
    ),
    Need(
        "owner of duties",
        "an owner killed, until there is another (a bound of two leases and a second)",
        Select("virtual", "control", "owners", "owner-killed"),
        "owned_after_s",
        "s",
        lambda t: float(t.gateways),
        OWNERS,
        lambda t: 21.0,
    ),
    Need(
        "owner of `restarts`",
        "carrying a plan, CPU",
        Select("real", "owner", "plan", "restarts"),
        "cpu_s_per_s",
        "core",
        lambda t: float(t.gateways),
        "`fleet/onduty.py`",
        lambda t: t.control.cpu_s_per_s,
    ),
    Need(
        "owner of `verdicts`",
        "one verdict of all a window, CPU",
        Select("real", "owner", "verdicts", "quiet"),
        "cpu_s_per_s",
        "core",
        lambda t: float(t.gateways),
        "`daemon/verdicts.py`",
        lambda t: t.control.cpu_s_per_s,
    ),
)
OTHERS = (
    Need(
        "the 4 control machines",
        "an owner's control, were it there, CPU",
        Select("real", "owner", "all", "quiet"),
        "cpu_s_per_s",
        "core",
        lambda t: float(t.gateways),
        f"{NONE_YET}: owners are gateways",
    ),
    Need(
        "the 4 control machines",
        "an owner's control, were it there, bytes out and in, with heads",
        Select("real", "owner", "all", "quiet"),
        "bytes_per_s",
        "bytes/s",
        lambda t: float(t.gateways),
        f"{NONE_YET}: owners are gateways",
    ),
    Need(
        "discovery",
        "whole lists, start of all, bytes sent",
        Select("call", "discovery", "list", "whole-list"),
        "list_bytes",
        "bytes/s",
        lambda t: float(t.readings.servers),
        "list service (a stand-in)",
        None,
        lambda t: t.readings.lists_per_s,
        "lists/s",
    ),
    Need(
        "discovery",
        "whole lists, start of all, CPU to write",
        Select("call", "discovery", "list", "whole-list"),
        "write_cpu_s",
        "core",
        lambda t: float(t.readings.servers),
        "list service (a stand-in)",
        None,
        lambda t: t.readings.lists_per_s,
        "lists/s",
    ),
    Need(
        PATH,
        "one whole list read, the loop stands still, s",
        Select("call", "discovery", "list", "whole-list"),
        "read_cpu_s",
        "s",
        lambda t: float(t.readings.servers),
        "`gateway/host_list.py`, `brain.py`",
        lambda t: t.delivery_within_s,
    ),
    Need(
        "server",
        "connections from all gateways",
        Select("real", "server", "connections", "idle"),
        "connections",
        "connections",
        lambda t: float(t.gateways),
        "servers are not ours",
    ),
    Need(
        "server",
        "tests from all gateways",
        Select("real", "server", "connections", "idle"),
        "messages_per_s",
        "messages/s",
        lambda t: float(t.gateways),
        "servers are not ours",
    ),
    Need(
        "operator's tool",
        "`fleet status` of all, time",
        Select("call", "operator", "fleet-status", "status"),
        "seconds",
        "s",
        lambda t: float(t.gateways),
        "`fleet/carry.py`",
        lambda t: t.readings.tool_within_s,
    ),
    Need(
        "operator's tool",
        "`fleet restart` of all, time",
        Select("real", "operator", "fleet-restart", "restart"),
        "seconds",
        "s",
        lambda t: float(t.gateways),
        "`fleet/plan.py`",
        None,
    ),
)
NEEDS: tuple[Need, ...] = (*DATA_PATH, *CONTROL, *OWNER, *OTHERS)


# ---- what a failure stops ----------------------------------------------------------------------------------

SPLIT = Select("real", "owner", "budgets", "equal-split")
SPLIT_REGIONS = Select("real", "owner", "budgets", "equal-split-regions")  # of a site that states them
LOSSES = (
    Loss(
        "regions-apart",
        "no side has a majority of all: duties of the whole stand still; without regions "
        "loans end, and own parts alone let in",
        SPLIT_REGIONS,
        "regions: each side owns its duties",
        "regions",
        share="after_15_s_share",
        without=SPLIT,
    ),
    Loss(
        "machine",
        "its part of the limits, until it is lent to others",
        Select("real", "owner", "budgets", "one-killed"),
        "loans, clients that come again",
        lost="lost_gateway_s",
    ),
    Loss(
        "restart",
        "its part of the limits and what it takes in, while it is away",
        Select("real", "owner", "budgets", "restarted"),
        "restarts in order, loans",
        lost="lost_gateway_s",
    ),
    Loss(
        "rack",
        "the parts of its gateways, until they are lent to others",
        Select("real", "owner", "budgets", "one-killed"),
        "loans, clients that come again",
        lost="lost_gateway_s",
    ),
    Loss(
        "zone",
        "the parts of its gateways, until they are lent to others",
        Select("real", "owner", "budgets", "one-killed"),
        "loans, clients that come again",
        lost="lost_gateway_s",
    ),
)


# ---- figures that were handed on ---------------------------------------------------------------------------


def _slope(select: Select, figure: str) -> Callable[[Book, Target], float | None]:
    def found(book: Book, target: Target) -> float | None:
        line = book.line(select, figure)
        return line.slope if line is not None else None

    return found


def _line_at(
    select: Select, figure: str, size: Callable[[Target], float]
) -> Callable[[Book, Target], float | None]:
    def found(book: Book, target: Target) -> float | None:
        line = book.line(select, figure)
        return line.at(size(target)) if line is not None else None

    return found


def _by(
    call: Callable[[Book, Target], float | None], factor: Callable[[Target], float]
) -> Callable[[Book, Target], float | None]:
    def found(book: Book, target: Target) -> float | None:
        value = call(book, target)
        return None if value is None else value * factor(target)

    return found


def _poll(phase: str) -> Select:
    return Select("call", "data-path", "poll", phase)


def _split(name: str) -> Callable[[Book, Target], float | None]:
    """Of the first time that it was measured: that is the code which the figures were told of."""

    def found(book: Book, target: Target) -> float | None:
        for result in book.kept.values():
            for p in result.points:
                if Select(p.kind, p.role, p.mechanism, p.phase) == SPLIT and name in p.figures:
                    return p.figures[name]
        return None

    return found


_CHECK = Select("call", "control", "configuration", "check")
_PLAYING = Select("call", "data-path", "module", "playing")


def _each(t: Target) -> float:
    return t.connections_each


def _members(phase: str) -> Select:
    return Select("virtual", "control", "membership", phase)


BEFORE = (
    Before(
        "two halves of six daemons, let in before the cut, of the whole",
        "0.98",
        0.98,
        0.98,
        _split("before_share"),
        "",
    ),
    Before("the same, cut", "0.00", 0.0, 0.0, _split("after_15_s_share"), ""),
    Before(
        "the same, first ten seconds after it heals",
        "0.85",
        0.85,
        0.85,
        _split("healed_first_10_s_share"),
        "",
    ),
    Before(
        "checking a site of 50 gateways",
        "1.1 s",
        1.1,
        1.1,
        lambda book, t: book.at(_CHECK, "cpu_s_per_change", 50.0),
        "s",
    ),
    Before(
        "checking a site of 550 gateways",
        "3.3 s",
        3.3,
        3.3,
        lambda book, t: book.at(_CHECK, "cpu_s_per_change", 550.0),
        "s",
    ),
    Before(
        "the day's changes checked by each gateway",
        "8.4% of a core",
        0.084,
        0.084,
        _by(
            _line_at(_CHECK, "cpu_s_per_change", lambda t: float(t.gateways)),
            lambda t: t.changes_per_day / DAY,
        ),
        "core",
    ),
    Before(
        "`select.poll`, each idle descriptor, one ready as it is called",
        "44 to 78 ns",
        44e-9,
        78e-9,
        _slope(_poll("poll-ready"), "cpu_s_per_turn"),
        "s",
    ),
    Before(
        "the same, asleep until one is ready",
        "44 to 78 ns",
        44e-9,
        78e-9,
        _slope(_poll("poll-sleeps"), "cpu_s_per_turn"),
        "s",
    ),
    Before(
        "a turn of `select.poll` at the size, asleep until one is ready",
        "5 ms",
        5e-3,
        5e-3,
        _line_at(_poll("poll-sleeps"), "cpu_s_per_turn", _each),
        "s",
    ),
    Before(
        "200 such turns a second",
        "a core",
        1.0,
        1.0,
        _by(_line_at(_poll("poll-sleeps"), "cpu_s_per_turn", _each), lambda t: t.readings.turns_per_s),
        "core",
    ),
    Before(
        "a turn of epoll, 9,000 connections, one ready as it is called",
        "4 us",
        4e-6,
        4e-6,
        lambda book, t: book.at(_poll("epoll-ready"), "cpu_s_per_turn", 9000.0),
        "s",
    ),
    Before(
        "the same, asleep until one is ready",
        "4 us",
        4e-6,
        4e-6,
        lambda book, t: book.at(_poll("epoll-sleeps"), "cpu_s_per_turn", 9000.0),
        "s",
    ),
    Before(
        "module, a session that just plays, a second",
        "3 us",
        3e-6,
        3e-6,
        _slope(_PLAYING, "cpu_s_per_s"),
        "s",
    ),
    Before(
        "module, a session that just plays",
        "1.5 to 2.3 KB",
        1500.0,
        2300.0,
        _slope(_PLAYING, "memory_bytes"),
        "bytes",
    ),
    Before(
        "module at the size, CPU",
        "22% of a core",
        0.22,
        0.22,
        _line_at(_PLAYING, "cpu_s_per_s", _each),
        "core",
    ),
    Before(
        "module at the size, memory",
        "110 to 170 MB",
        110e6,
        170e6,
        _line_at(_PLAYING, "memory_bytes", _each),
        "bytes",
    ),
    Before(
        "membership, quiet, bytes sent a member and second, 100 members",
        "150 bytes",
        150.0,
        150.0,
        lambda book, t: book.at(_members("quiet"), "bytes_out_per_s", 100.0),
        "bytes/s",
    ),
    Before(
        "the same, 300 members",
        "150 bytes",
        150.0,
        150.0,
        _line_at(_members("quiet"), "bytes_out_per_s", lambda t: 300.0),
        "bytes/s",
    ),
    Before(
        "a sixth killed at once, over 30 s, 100 members",
        "400 bytes",
        400.0,
        400.0,
        lambda book, t: book.at(_members("sixth-killed"), "bytes_out_per_s", 100.0),
        "bytes/s",
    ),
    Before(
        "the same, 300 members",
        "997 bytes",
        997.0,
        997.0,
        _line_at(_members("sixth-killed"), "bytes_out_per_s", lambda t: 300.0),
        "bytes/s",
    ),
    Before(
        "a start of all, its first 25 s, 300 members",
        "some 2,000 bytes",
        2000.0,
        2000.0,
        _line_at(_members("start-of-all"), "bytes_out_per_s", lambda t: 300.0),
        "bytes/s",
    ),
)
