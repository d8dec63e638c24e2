"""`fleet ...`: many gateways at once."""

import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from ledgehitch.config import BadInput, Site, read_site
from ledgehitch.config.site import active_gateways
from ledgehitch.daemon.facts import PlanCall, PlanMessage
from ledgehitch.fleet.carry import ANSWER_TIMEOUT_S, Caller, PlanRunner, verifying_client
from ledgehitch.fleet.found import QueryResult, Target, count_by_kind
from ledgehitch.fleet.held import latest_plan, plan_id_of
from ledgehitch.fleet.journal import Journal, head_line, plan_at_head, read_lines, unfinished_journals
from ledgehitch.fleet.owned import OwnersAnswer, summarize_duties, voting_problems
from ledgehitch.fleet.owned import decode_answer as read_owners
from ledgehitch.fleet.plan import Action, Finished, Plan, RollingChange, Terms, preview_groups
from ledgehitch.fleet.shared import BudgetReport, remarks, summarize_budgets
from ledgehitch.fleet.shared import decode_report as read_budgets
from ledgehitch.fleet.show import KIND_COLOURS, format_line
from ledgehitch.gateway.versions import compile_site
from ledgehitch.http import ConnectFailed, Interrupted
from ledgehitch.http.client import TLS
from ledgehitch.keys.store import Keys
from ledgehitch.loop import Loop, TimedOut
from ledgehitch.regions.facts import regions_of

GOOD = ("answered", "slow", "draining")


def targets_of(site: Site, admin_dir: Path | None, only: tuple[str, ...]) -> list[Target]:
    """Where each gateway takes the admin call: where its site says, or at a Unix socket of this machine."""
    known = [g.name for g in site.gateways]
    for name in only:
        if name not in known:
            raise BadInput(f"no gateway {name!r}, known are {', '.join(known)}")
    out = []
    for g in site.gateways:
        if g.name not in (only or active_gateways(site)):
            continue
        if admin_dir is not None:
            at = f"unix:{admin_dir / g.name}.admin"
        elif g.admin_at:
            at = TLS + g.admin_at.removeprefix(TLS)
        else:
            raise BadInput(f"gateway {g.name} has no admin_at in the site: name it, or give --admin-dir")
        out.append(Target(g.name, at, g.zone, g.rack))
    return out


class Fleet:
    """What all commands share."""

    def __init__(
        self, site_file: Path, admin_dir: Path | None, plans: Path, within: float, cert: Path | None
    ) -> None:
        self.site_file, self.admin_dir, self.plans, self.within = site_file, admin_dir, plans, within
        self.cert = cert
        self.patience = 30.0  # seconds to look for an owner
        self.site = read_site(site_file)

    def targets(self, only: tuple[str, ...] = ()) -> list[Target]:
        return targets_of(self.site, self.admin_dir, only)

    def caller(self, loop: Loop) -> Caller:
        if self.cert is None:
            return Caller(loop, self.within)
        names = {t.at: t.name for t in self.targets()}
        client = verifying_client(loop, Keys(self.cert.parent), self.cert, names)
        return Caller(loop, self.within, client)

    def found(self, only: tuple[str, ...] = ()) -> list[QueryResult]:
        loop = Loop()
        found: list[QueryResult] = loop.run(lambda: self.caller(loop).ask_all(self.targets(only)))
        return found

    def asked(
        self, method: str, path: str, only: tuple[str, ...] = (), body: bytes = b""
    ) -> list[tuple[str, int, bytes, str | None]]:
        """Each gateway's name, status (0: no answer), body or why there is none, and the owner it names where
        it says that it is not: empty if it knows none."""
        loop, found = Loop(), dict[str, tuple[str, int, bytes, str | None]]()

        def one(caller: Caller, t: Target) -> None:
            try:
                with loop.deadline(self.within):
                    answer = caller.client.request(t.at, method, path, None, body)
                found[t.name] = t.name, answer.status, answer.body, answer.header("owner")
            except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
                found[t.name] = t.name, 0, str(why or "no whole answer in time").encode(), None

        def main() -> None:
            caller = self.caller(loop)
            for task in [loop.spawn(one, caller, t, name=f"ask {t.name}") for t in self.targets(only)]:
                task.wait()

        loop.run(main)
        return [found[t.name] for t in self.targets(only)]

    def said(self) -> list[OwnersAnswer]:
        return [
            read_owners(name, status, body) if status else OwnersAnswer(name, None, body.decode())
            for name, status, body, _ in self.asked("GET", "/v1/owners")
        ]

    def regions(self) -> dict[str, str]:
        return {g: r.name for r in regions_of(self.site) for g in r.gateways}

    def planned(self, call: PlanCall) -> dict[str, Any]:
        """An operator's word at the owner of `restarts`, wherever that is now; it may take a lease to be
        found."""
        body, why, until = msgspec.json.encode(call), "", time.monotonic() + self.patience
        while True:
            for name, status, answer, _ in self.asked("GET", "/v1/owners"):
                told = read_owners(name, status, answer)
                if told.state is None or not told.state["duties"].get("restarts", {}).get("mine"):
                    continue
                ((_, status, answer, owner),) = self.asked("POST", "/v1/plan", (name,), body)
                if status == 200:
                    return dict(msgspec.json.decode(answer, type=dict[str, Any]))
                why = f"{name}: {_detail(answer) or status}"
                if status not in (0, 503) and owner is None:
                    raise BadInput(why)
            if time.monotonic() > until:
                raise BadInput(
                    f"nobody takes it: {why or 'no gateway says that it owns restarts'}; see `fleet owners`"
                )
            time.sleep(0.3)

    def lock(self) -> Path:
        self.plans.mkdir(parents=True, exist_ok=True)
        return self.plans / f"{self.site.name}.lock"


@click.group()
@click.option("--site", "site_file", type=click.Path(path_type=Path), required=True)
@click.option(
    "--admin-dir",
    type=click.Path(path_type=Path),
    default=None,
    help="Where the gateways of this machine have their state; else each one's admin_at counts.",
)
@click.option(
    "--plans", type=click.Path(path_type=Path), default=Path("plans"), show_default=True, help="Journals."
)
@click.option(
    "--within",
    type=click.FloatRange(0.01, 600),
    default=ANSWER_TIMEOUT_S,
    show_default=True,
    help="Seconds for one gateway's answer.",
)
@click.option(
    "--cert",
    type=click.Path(path_type=Path),
    default=None,
    help="An operator's certificate with its key (ledgehitch keys), for gateways over TLS.",
)
@click.pass_context
def fleet(
    ctx: click.Context,
    site_file: Path,
    admin_dir: Path | None,
    plans: Path,
    within: float,
    cert: Path | None,
) -> None:
    """Many gateways at once: what they are, and changes in measured steps."""
    ctx.obj = Fleet(site_file, admin_dir, plans, within, cert)


@fleet.command()
@click.argument("gateways", nargs=-1)
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def status(work: Fleet, gateways: tuple[str, ...], as_json: bool) -> None:
    """What each gateway is now. Exit code 1 where one does not answer as it should."""
    found = work.found(gateways)
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        console = Console(highlight=False, width=None if sys.stdout.isatty() else 140)
        console.print(table_of(found, {t.name: t for t in work.targets(gateways)}))
        console.print(", ".join(f"{n} {kind}" for kind, n in count_by_kind(found).items()))
    sys.exit(0 if all(f.kind in GOOD for f in found) else 1)


def table_of(found: list[QueryResult], targets: dict[str, Target]) -> Table:
    table = Table(
        "gateway", "hall", "rack", "is", "viewings", "asked", "blocked", "p50", "p99", "up", "why", box=None
    )
    for f in found:
        t, s = targets[f.name], f.state
        row = [f.name, t.zone, t.rack, f"[{KIND_COLOURS.get(f.kind, 'bold red')}]{f.kind}[/]"]
        if s is None:
            row += ["-"] * 6
        else:
            c = s.counts
            joins = [f"{s.joins_ms[q]:.0f} ms" if q in s.joins_ms else "-" for q in ("50", "99")]
            row += [str(s.viewings), str(c.asked), str(c.blocked + c.turned_away), *joins, f"{s.up_s:.0f} s"]
        table.add_row(*row, f.why)
    return table


def _rolled(name: str, summary: str, action: Action) -> Any:
    """A command that changes gateways in measured steps."""

    @fleet.command(name, help=summary)
    @click.argument("gateways", nargs=-1)
    @click.option(
        "--at-once", type=click.IntRange(1), default=1, show_default=True, help="Gateways under way."
    )
    @click.option("--share", type=click.FloatRange(0, 1), default=0.0, help="Or this part of them, if less.")
    @click.option(
        "--drain-within",
        type=click.FloatRange(0),
        default=30.0,
        show_default=True,
        help="Seconds for what plays to end by itself.",
    )
    @click.option("--back-within", type=click.FloatRange(0.1), default=60.0, show_default=True)
    @click.option("--settle", type=click.FloatRange(0), default=1.0, show_default=True)
    @click.option("--failures", type=click.IntRange(1), default=1, show_default=True, help="That stop it.")
    @click.option(
        "--worse",
        type=click.FloatRange(0, 1),
        default=0.05,
        show_default=True,
        help="By which blocked and aborted may rise.",
    )
    @click.option(
        "--slow-ms",
        type=click.FloatRange(0),
        default=0.0,
        help="What joins may take at the 99th percentile, in the gateways' median; 0: anything.",
    )
    @click.option("--halls-together", is_flag=True, help="Do not finish a hall before the next begins.")
    @click.option(
        "--by-fleet",
        is_flag=True,
        help="Leave the plan with the fleet, which carries it out though this tool ends.",
    )
    @click.option("--plan", "only_plan", is_flag=True, help="Say what would be done, and do nothing.")
    @click.pass_obj
    def command(
        work: Fleet,
        gateways: tuple[str, ...],
        at_once: int,
        share: float,
        drain_within: float,
        back_within: float,
        settle: float,
        failures: int,
        worse: float,
        slow_ms: float,
        halls_together: bool,
        by_fleet: bool,
        only_plan: bool,
    ) -> None:
        terms = Terms(
            at_once, share, drain_within, back_within, settle, failures, worse, not halls_together, slow_ms
        )
        digest = ""
        if action in ("reload", "restart"):
            compiled = compile_site(work.site_file)
            if compiled.mistakes:
                raise BadInput("\n".join(compiled.mistakes))
            digest = compiled.digest
        made = time.strftime("%Y%m%d-%H%M%S", time.gmtime())
        plan = Plan(f"{made}-{os.getpid()}-{action}", action, work.targets(gateways), terms, digest)
        if only_plan:
            for number, group in enumerate(preview_groups(plan), 1):
                click.echo(f"{number}. {action} {', '.join(group)}")
            return
        if by_fleet:
            if action != "restart":
                raise BadInput("the fleet carries out restarts alone")
            said = work.planned(PlanCall("begin", msgspec.to_builtins(plan)))
            click.echo(f"{said['id']} lies with a majority, the fleet carries it out: `fleet plan status`")
            return
        older = unfinished_journals(work.plans) if work.plans.is_dir() else []
        if older:
            raise BadInput(f"{older[-1]} is not at its end: `fleet resume` or `fleet give-up` first")
        journal = Journal(work.plans / f"{plan.id}.journal", work.lock())
        journal.append(head_line(plan))
        _work(work, journal, plan)

    return command


_rolled("restart", "Restart gateways in measured steps.", "restart")
_rolled("drain", "Have gateways take no new viewings.", "drain")
_rolled("retire", "Have gateways leave for good: drained, told to the others, stopped.", "retire")
_rolled("undrain", "Have gateways take viewings again.", "undrain")
_rolled("apply", "Have gateways read the site anew, and see that they run it.", "reload")


def _detail(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body, type=dict[str, Any]).get("detail", ""))
    except msgspec.MsgspecError:
        return body[:200].decode("utf-8", "replace")


@fleet.command()
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def owners(work: Fleet, as_json: bool) -> None:
    """Who does the work that one gateway at a time does for all. Exit code 1 where a duty has no owner that
    is known."""
    said = work.said()
    found = summarize_duties(said, work.regions())
    if as_json:
        answers = {s.name: s.state if s.state is not None else {"silent": s.why} for s in said}
        click.echo(msgspec.json.encode({"duties": found, "gateways": answers}).decode())
    else:
        table = Table("duty", "is", "owner", "term", "lease left", "does", "refused", "why", box=None)
        for f in found:
            left = f"{f.lease_left:.1f} s" if f.lease_left else "-"
            why = f.why or f.standstill
            table.add_row(f.duty, f.kind, f.owner or "-", str(f.term), left, f.doing, str(f.refused), why)
        Console(highlight=False, width=None if sys.stdout.isatty() else 160).print(table)
        for line in voting_problems(said):
            click.echo(line)
    sys.exit(0 if found and all(f.kind == "owned" for f in found) else 1)


@fleet.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--by-gateway", is_flag=True, help="what each gateway has, too")
@click.pass_obj
def budgets(work: Fleet, as_json: bool, by_gateway: bool) -> None:
    """How the limits of the whole fleet are divided: own parts, loans, what is used and what is wanted. Exit
    code 1 where a gateway has its own part alone, is silent, or sums do not add up."""
    told, silent = dict[str, BudgetReport](), list[tuple[str, str]]()
    for name, status, body, _ in work.asked("GET", "/v1/budgets"):
        one = read_budgets(body) if status == 200 else _detail(body) or f"it answers {status}"
        if isinstance(one, str):
            silent.append((name, one))
        else:
            told[name] = one
    found, lines = summarize_budgets(told), remarks(told, silent)
    if as_json:
        click.echo(msgspec.json.encode({"budgets": found, "gateways": told, "silent": silent}).decode())
    else:
        table = Table("budget", "unit", "own parts", "lent", "used", "wanted", "unmet", "free", box=None)
        for f in found:
            shares = (f"{x:.3f}" for x in (f.own, f.lent, f.used, f.wanted, f.unmet))
            free = "-" if f.free is None else f"{f.free:.3f}"
            table.add_row(f.budget, f.unit, *shares, free + (f", waits {f.waits:.1f} s" if f.waits else ""))
            for region, (share, own, lent, used) in sorted(f.regions.items()):
                shares = (f"{x:.3f}" for x in (own, lent, used))
                table.add_row(f"  {region}", f"share {share:.3f}", *shares)
            for name, each in sorted(f.by.items()) if by_gateway else ():
                table.add_row(f"  {name}", "", f"{each[0]:.3f}", f"{each[1]:.3f}", "", f"{each[2]:.3f}")
        Console(highlight=False, width=None if sys.stdout.isatty() else 160).print(table)
        for line in [*lines, *(f"{f.budget}: DOES NOT ADD UP: {f.wrong}" for f in found if f.wrong)]:
            click.echo(line)
    sys.exit(1 if silent or any(t.alone for t in told.values()) or any(f.wrong for f in found) else 0)


@fleet.group("plan")
def fleet_plan() -> None:
    """The restart that the fleet itself carries out (`fleet restart --by-fleet`), from any machine."""


@fleet_plan.command("status")
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def plan_status(work: Fleet, as_json: bool) -> None:
    """The plan as a majority of the gateways holds it, and what its owner does."""
    held, silent = [], []
    answers = work.asked("GET", "/v1/plans")
    for name, status, body, _ in answers:
        try:
            words = msgspec.json.decode(body, type=dict[str, Any])["held"] if status == 200 else None
            if status != 200:
                silent.append(name)
            elif words is not None:
                held.append(msgspec.convert(words, PlanMessage))
        except (msgspec.MsgspecError, KeyError):
            silent.append(name)
    last = latest_plan(held)
    doing = next((f.doing for f in summarize_duties(work.said()) if f.duty == "restarts"), "")
    with_it = [w for w in held if last is not None and w.order() == last.order()]
    out = {
        "plan": msgspec.to_builtins(last) if last else None,
        "doing": doing,
        "silent": silent,
        "held_by": len(with_it),
        "of": len(answers),
    }
    if as_json:
        click.echo(json.dumps(out))
    elif last is None:
        click.echo("no plan" + (f"; silent: {', '.join(silent)}" if silent else ""))
    else:
        why = f", {last.why}" if last.why else ""
        there = f"with {len(with_it)} of {len(answers)} gateways"
        click.echo(f"{plan_id_of(last)}: {last.word}{why}; {there}")
        click.echo(doing or "no owner is known now: it stands still")
    sys.exit(0 if len(silent) * 2 < len(answers) else 1)


def _said(name: str, do: Any, summary: str) -> None:
    @fleet_plan.command(name, help=summary)
    @click.pass_obj
    def command(work: Fleet) -> None:
        said = work.planned(PlanCall(do))
        click.echo(f"{said['id']}: {said['word']}")


_said("stop", "stop", "Begin nothing more; what is under way comes back by itself.")
_said("resume", "resume", "Go on with a plan that was stopped, or stopped itself.")
_said("give-up", "give up", "Say that it is not to be gone on with.")


def _work(work: Fleet, journal: Journal, plan: Plan) -> None:
    loop = Loop()
    rolling = RollingChange(time.monotonic(), plan, journal.lines[1:])

    def tell(line: dict[str, Any]) -> None:
        click.echo(format_line(line))

    try:
        over: Finished = loop.run(lambda: PlanRunner(loop, work.caller(loop), journal, rolling, tell).run())
    finally:
        journal.close()
    click.echo(", ".join(f"{n} {step}" for step, n in sorted(rolling.count_by_step().items())))
    if not over.ended:
        click.echo(f"stopped: {over.why}\njournal: {journal.path}; go on with `fleet resume`", err=True)
        sys.exit(1)


@fleet.command()
@click.argument("journal_file", type=click.Path(path_type=Path), required=False)
@click.option("--again", is_flag=True, help="Also try those once more that had failed.")
@click.pass_obj
def resume(work: Fleet, journal_file: Path | None, again: bool) -> None:
    """Go on with a plan that was cut off or stopped, the newest one if none is named."""
    path = _newest(work, journal_file)
    journal = Journal(path, work.lock())
    plan = plan_at_head(journal.lines, path)
    if again:
        journal.append({"ev": "again"})
    _work(work, journal, plan)


@fleet.command("give-up")
@click.argument("journal_file", type=click.Path(path_type=Path), required=False)
@click.pass_obj
def give_up(work: Fleet, journal_file: Path | None) -> None:
    """Say that a plan is not to be gone on with."""
    journal = Journal(_newest(work, journal_file), work.lock())
    journal.append({"ev": "given up", "t": round(time.time(), 3)})
    journal.close()


def _newest(work: Fleet, named: Path | None) -> Path:
    if named is not None:
        return named
    older = unfinished_journals(work.plans) if work.plans.is_dir() else []
    if not older:
        raise BadInput(f"{work.plans}: no plan is under way")
    return older[-1]


@fleet.command()
@click.argument("journal_file", type=click.Path(path_type=Path), required=False)
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def log(work: Fleet, journal_file: Path | None, as_json: bool) -> None:
    """What a plan did, line by line; the newest one if none is named."""
    found = sorted(work.plans.glob("*.journal"))
    path = journal_file or (found[-1] if found else None)
    if path is None:
        raise BadInput(f"{work.plans}: no journals")
    for line in read_lines(path):
        if as_json:
            click.echo(json.dumps(line))
        elif line["ev"] == "plan":
            plan = plan_at_head([line], path)
            click.echo(f"{plan.id}: {plan.action} of {len(plan.targets)} gateways")
        else:
            at = time.strftime("%H:%M:%S", time.gmtime(line.get("t", 0)))
            click.echo(f"{at}  {format_line(line)}")


@fleet.command()
@click.option("--every", type=click.FloatRange(0.2, 600), default=2.0, show_default=True)
@click.pass_obj
def watch(work: Fleet, every: float) -> None:
    """Halls, gateways, media hosts and a running plan, live in the terminal."""
    import asyncio

    from ledgehitch.fleet.screen import FleetScreen

    words = ["--site", str(work.site_file), "--plans", str(work.plans), "--within", str(work.within)]
    words += ["--admin-dir", str(work.admin_dir)] if work.admin_dir is not None else []
    words += ["--cert", str(work.cert)] if work.cert is not None else []

    async def feed() -> tuple[list[QueryResult], list[dict[str, Any]]]:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ledgehitch",
            "fleet",
            *words,
            "status",
            "--json",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await child.communicate()
        if child.returncode not in (0, 1):
            raise ValueError(err.decode("utf-8", "replace").strip()[-200:])
        newest = sorted(work.plans.glob("*.journal"))
        return msgspec.json.decode(out, type=list[QueryResult]), read_lines(newest[-1]) if newest else []

    FleetScreen(feed, {t.name: t.zone for t in work.targets()}, every).run()
