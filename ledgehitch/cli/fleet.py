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
from ledgehitch.gateway.site_reloader import compile_site
from ledgehitch.http import ConnectFailed, Interrupted
from ledgehitch.http.client import TLS
from ledgehitch.keys.store import Keys
from ledgehitch.loop import Loop, TimedOut
from ledgehitch.regions.facts import regions_of

HEALTHY_KINDS = ("answered", "slow", "draining")


def targets_of(site: Site, admin_dir: Path | None, only: tuple[str, ...]) -> list[Target]:
    """Returns the admin address of each gateway: the one in the site, or a Unix socket under `admin_dir`.

    Raises BadInput if `only` names an unknown gateway or if a gateway has no address.
    """
    known = [gateway.name for gateway in site.gateways]
    for name in only:
        if name not in known:
            raise BadInput(f"no gateway {name!r}, known are {', '.join(known)}")
    targets = []
    for gateway in site.gateways:
        if gateway.name not in (only or active_gateways(site)):
            continue
        if admin_dir is not None:
            at = f"unix:{admin_dir / gateway.name}.admin"
        elif gateway.admin_at:
            at = TLS + gateway.admin_at.removeprefix(TLS)
        else:
            raise BadInput(
                f"gateway {gateway.name} has no admin_at in the site: set it there, or pass --admin-dir"
            )
        targets.append(Target(gateway.name, at, gateway.zone, gateway.rack))
    return targets


class FleetContext:
    """The site and the options that all commands share, with the requests to its gateways."""

    def __init__(
        self, site_file: Path, admin_dir: Path | None, plans: Path, within: float, cert: Path | None
    ) -> None:
        self.site_file, self.admin_dir, self.plans, self.within = site_file, admin_dir, plans, within
        self.cert = cert
        self.owner_timeout_s = 30.0  # how long to look for an owner of `restarts`
        self.site = read_site(site_file)

    def targets(self, only: tuple[str, ...] = ()) -> list[Target]:
        """Returns the admin addresses of the gateways in `only`, or of all gateways if it is empty."""
        return targets_of(self.site, self.admin_dir, only)

    def caller(self, loop: Loop) -> Caller:
        """Returns a caller of the admin API, over TLS if a certificate was given."""
        if self.cert is None:
            return Caller(loop, self.within)
        names = {target.at: target.name for target in self.targets()}
        client = verifying_client(loop, Keys(self.cert.parent), self.cert, names)
        return Caller(loop, self.within, client)

    def query_states(self, only: tuple[str, ...] = ()) -> list[QueryResult]:
        """Returns the state of each gateway, including those that do not answer."""
        loop = Loop()
        states: list[QueryResult] = loop.run(lambda: self.caller(loop).ask_all(self.targets(only)))
        return states

    def request_all(
        self, method: str, path: str, only: tuple[str, ...] = (), body: bytes = b""
    ) -> list[tuple[str, int, bytes, str | None]]:
        """Sends a request to each gateway and returns its name, HTTP status, body and `owner` header.

        Status 0 means no answer, and the body then holds the reason. A gateway that is not the owner itself
        gives the owner in the header, which is empty if it knows none.
        """
        loop, responses = Loop(), dict[str, tuple[str, int, bytes, str | None]]()

        def request_one(caller: Caller, target: Target) -> None:
            try:
                with loop.deadline(self.within):
                    response = caller.client.request(target.at, method, path, None, body)
                responses[target.name] = target.name, response.status, response.body, response.header("owner")
            except (TimedOut, ConnectFailed, Interrupted, ValueError) as error:
                responses[target.name] = (
                    target.name,
                    0,
                    str(error or "no complete answer in time").encode(),
                    None,
                )

        def main() -> None:
            caller = self.caller(loop)
            for task in [
                loop.spawn(request_one, caller, target, name=f"ask {target.name}")
                for target in self.targets(only)
            ]:
                task.wait()

        loop.run(main)
        return [responses[target.name] for target in self.targets(only)]

    def owner_reports(self) -> list[OwnersAnswer]:
        """Returns what each gateway reports on the owners of the duties."""
        return [
            read_owners(name, status, body) if status else OwnersAnswer(name, None, body.decode())
            for name, status, body, _ in self.request_all("GET", "/v1/owners")
        ]

    def regions(self) -> dict[str, str]:
        """Returns the region of each gateway."""
        return {gateway: region.name for region in regions_of(self.site) for gateway in region.gateways}

    def send_plan_call(self, call: PlanCall) -> dict[str, Any]:
        """Sends an operator's call to the current owner of `restarts` and returns the answer.

        It retries, since a new owner may take a lease to appear. Raises BadInput if the owner refuses the
        call or none is found in time.
        """
        body, reason, deadline = msgspec.json.encode(call), "", time.monotonic() + self.owner_timeout_s
        while True:
            for name, status, answer, _ in self.request_all("GET", "/v1/owners"):
                report = read_owners(name, status, answer)
                if report.state is None or not report.state["duties"].get("restarts", {}).get("mine"):
                    continue
                ((_, status, answer, owner),) = self.request_all("POST", "/v1/plan", (name,), body)
                if status == 200:
                    return dict(msgspec.json.decode(answer, type=dict[str, Any]))
                reason = f"{name}: {_problem_detail(answer) or status}"
                if status not in (0, 503) and owner is None:
                    raise BadInput(reason)
            if time.monotonic() > deadline:
                raise BadInput(
                    f"no owner of restarts took the call: {reason or 'no gateway says that it owns restarts'}"
                    "; see `fleet owners`"
                )
            time.sleep(0.3)

    def lock_file(self) -> Path:
        """Returns the path of the lock file that is held during a plan, and creates its directory."""
        self.plans.mkdir(parents=True, exist_ok=True)
        return self.plans / f"{self.site.name}.lock"


@click.group()
@click.option("--site", "site_file", type=click.Path(path_type=Path), required=True)
@click.option(
    "--admin-dir",
    type=click.Path(path_type=Path),
    default=None,
    help="State directory of this machine's gateways, in place of each gateway's admin_at.",
)
@click.option(
    "--plans",
    type=click.Path(path_type=Path),
    default=Path("plans"),
    show_default=True,
    help="Directory of plan journals.",
)
@click.option(
    "--within",
    type=click.FloatRange(0.01, 600),
    default=ANSWER_TIMEOUT_S,
    show_default=True,
    help="Seconds to wait for one gateway's answer.",
)
@click.option(
    "--cert",
    type=click.Path(path_type=Path),
    default=None,
    help="Operator's certificate with its key (`ledgehitch keys`), for gateways reached over TLS.",
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
    """Shows and changes many gateways at once, a few at a time."""
    ctx.obj = FleetContext(site_file, admin_dir, plans, within, cert)


@fleet.command()
@click.argument("gateways", nargs=-1)
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def status(context: FleetContext, gateways: tuple[str, ...], as_json: bool) -> None:
    """Shows the state of each gateway. Exit code 1 if one is not healthy."""
    states = context.query_states(gateways)
    if as_json:
        click.echo(msgspec.json.encode(states).decode())
    else:
        console = Console(highlight=False, width=None if sys.stdout.isatty() else 140)
        console.print(status_table(states, {target.name: target for target in context.targets(gateways)}))
        console.print(", ".join(f"{number} {kind}" for kind, number in count_by_kind(states).items()))
    sys.exit(0 if all(state.kind in HEALTHY_KINDS for state in states) else 1)


def status_table(states: list[QueryResult], targets: dict[str, Target]) -> Table:
    """Returns the table of `fleet status`, with one row per gateway."""
    table = Table(
        "gateway", "hall", "rack", "is", "viewings", "asked", "blocked", "p50", "p99", "up", "why", box=None
    )
    for answer in states:
        target, state = targets[answer.name], answer.state
        row = [
            answer.name,
            target.zone,
            target.rack,
            f"[{KIND_COLOURS.get(answer.kind, 'bold red')}]{answer.kind}[/]",
        ]
        if state is None:
            row += ["-"] * 6
        else:
            counts = state.counts
            joins = [f"{state.joins_ms[q]:.0f} ms" if q in state.joins_ms else "-" for q in ("50", "99")]
            row += [
                str(state.viewings),
                str(counts.asked),
                str(counts.blocked + counts.turned_away),
                *joins,
                f"{state.up_s:.0f} s",
            ]
        table.add_row(*row, answer.why)
    return table


def _add_rolling_command(name: str, summary: str, action: Action) -> Any:
    """Adds a command that changes gateways a few at a time, and stops if viewers are affected."""

    @fleet.command(name, help=summary)
    @click.argument("gateways", nargs=-1)
    @click.option(
        "--at-once",
        type=click.IntRange(1),
        default=1,
        show_default=True,
        help="Gateways changed at the same time.",
    )
    @click.option(
        "--share",
        type=click.FloatRange(0, 1),
        default=0.0,
        help="Or this share of the gateways, if that is fewer; 0: no such limit.",
    )
    @click.option(
        "--drain-within",
        type=click.FloatRange(0),
        default=30.0,
        show_default=True,
        help="Seconds to let viewings end by themselves.",
    )
    @click.option("--back-within", type=click.FloatRange(0.1), default=60.0, show_default=True)
    @click.option("--settle", type=click.FloatRange(0), default=1.0, show_default=True)
    @click.option(
        "--failures",
        type=click.IntRange(1),
        default=1,
        show_default=True,
        help="Failed gateways that stop the plan.",
    )
    @click.option(
        "--worse",
        type=click.FloatRange(0, 1),
        default=0.05,
        show_default=True,
        help="Allowed rise of the share of viewings that are blocked, aborted or turned away.",
    )
    @click.option(
        "--slow-ms",
        type=click.FloatRange(0),
        default=0.0,
        help="Limit on the gateways' median of the 99th percentile of join times; 0: no limit.",
    )
    @click.option("--halls-together", is_flag=True, help="Do not finish one zone before starting the next.")
    @click.option(
        "--by-fleet",
        is_flag=True,
        help="Hand the plan to the fleet, which executes it even if this tool ends.",
    )
    @click.option("--plan", "only_plan", is_flag=True, help="Print the steps without executing them.")
    @click.pass_obj
    def command(
        context: FleetContext,
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
            compiled = compile_site(context.site_file)
            if compiled.mistakes:
                raise BadInput("\n".join(compiled.mistakes))
            digest = compiled.digest
        timestamp = time.strftime("%Y%m%d-%H%M%S", time.gmtime())
        plan = Plan(f"{timestamp}-{os.getpid()}-{action}", action, context.targets(gateways), terms, digest)
        if only_plan:
            for number, group in enumerate(preview_groups(plan), 1):
                click.echo(f"{number}. {action} {', '.join(group)}")
            return
        if by_fleet:
            if action != "restart":
                raise BadInput("the fleet can execute only restarts")
            answer = context.send_plan_call(PlanCall("begin", msgspec.to_builtins(plan)))
            click.echo(
                f"{answer['id']} is stored by a majority and executed by the fleet; see `fleet plan status`"
            )
            return
        unfinished_plans = unfinished_journals(context.plans) if context.plans.is_dir() else []
        if unfinished_plans:
            raise BadInput(
                f"{unfinished_plans[-1]} is not at its end: run `fleet resume` or `fleet give-up` first"
            )
        journal = Journal(context.plans / f"{plan.id}.journal", context.lock_file())
        journal.append(head_line(plan))
        _run_plan(context, journal, plan)

    return command


_add_rolling_command("restart", "Restarts gateways a few at a time.", "restart")
_add_rolling_command("drain", "Drains gateways: they accept no new viewings.", "drain")
_add_rolling_command(
    "retire", "Removes gateways for good: drains them, notifies the others and stops them.", "retire"
)
_add_rolling_command("undrain", "Ends a drain: gateways accept viewings again.", "undrain")
_add_rolling_command("apply", "Has gateways reload the site, and checks that they run it.", "reload")


def _problem_detail(body: bytes) -> str:
    """Returns the `detail` of a problem document, or the start of the body if it is not one."""
    try:
        return str(msgspec.json.decode(body, type=dict[str, Any]).get("detail", ""))
    except msgspec.MsgspecError:
        return body[:200].decode("utf-8", "replace")


@fleet.command()
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def owners(context: FleetContext, as_json: bool) -> None:
    """Shows the owner of each duty, which one gateway at a time performs for all.

    Exit code 1 if a duty has no known owner."""
    reports = context.owner_reports()
    duties = summarize_duties(reports, context.regions())
    if as_json:
        answers = {
            report.name: report.state if report.state is not None else {"silent": report.why}
            for report in reports
        }
        click.echo(msgspec.json.encode({"duties": duties, "gateways": answers}).decode())
    else:
        table = Table("duty", "is", "owner", "term", "lease left", "does", "refused", "why", box=None)
        for duty in duties:
            lease_left = f"{duty.lease_left:.1f} s" if duty.lease_left else "-"
            reason = duty.why or duty.standstill
            table.add_row(
                duty.duty,
                duty.kind,
                duty.owner or "-",
                str(duty.term),
                lease_left,
                duty.doing,
                str(duty.refused),
                reason,
            )
        Console(highlight=False, width=None if sys.stdout.isatty() else 160).print(table)
        for line in voting_problems(reports):
            click.echo(line)
    sys.exit(0 if duties and all(duty.kind == "owned" for duty in duties) else 1)


@fleet.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--by-gateway", is_flag=True, help="Also show the part of each gateway.")
@click.pass_obj
def budgets(context: FleetContext, as_json: bool, by_gateway: bool) -> None:
    """Shows how the limits of the whole fleet are divided: own parts, loans, use and demand.

    Exit code 1 if a gateway is limited to its own part or does not answer, or if sums do not add up."""
    answers, silent = dict[str, BudgetReport](), list[tuple[str, str]]()
    for name, status, body, _ in context.request_all("GET", "/v1/budgets"):
        answer = read_budgets(body) if status == 200 else _problem_detail(body) or f"it answers {status}"
        if isinstance(answer, str):
            silent.append((name, answer))
        else:
            answers[name] = answer
    divisions, lines = summarize_budgets(answers), remarks(answers, silent)
    if as_json:
        click.echo(
            msgspec.json.encode({"budgets": divisions, "gateways": answers, "silent": silent}).decode()
        )
    else:
        table = Table("budget", "unit", "own parts", "lent", "used", "wanted", "unmet", "free", box=None)
        for division in divisions:
            shares = (
                f"{amount:.3f}"
                for amount in (division.own, division.lent, division.used, division.wanted, division.unmet)
            )
            free = "-" if division.free is None else f"{division.free:.3f}"
            table.add_row(
                division.budget,
                division.unit,
                *shares,
                free + (f", waits {division.waits:.1f} s" if division.waits else ""),
            )
            for region, (share, own, lent, used) in sorted(division.regions.items()):
                shares = (f"{amount:.3f}" for amount in (own, lent, used))
                table.add_row(f"  {region}", f"share {share:.3f}", *shares)
            for name, amounts in sorted(division.by.items()) if by_gateway else ():
                table.add_row(
                    f"  {name}", "", f"{amounts[0]:.3f}", f"{amounts[1]:.3f}", "", f"{amounts[2]:.3f}"
                )
        Console(highlight=False, width=None if sys.stdout.isatty() else 160).print(table)
        for line in [
            *lines,
            *(
                f"{division.budget}: DOES NOT ADD UP: {division.wrong}"
                for division in divisions
                if division.wrong
            ),
        ]:
            click.echo(line)
    sys.exit(
        1
        if silent
        or any(answer.alone for answer in answers.values())
        or any(division.wrong for division in divisions)
        else 0
    )


@fleet.group("plan")
def fleet_plan() -> None:
    """The restart that the fleet itself executes (`fleet restart --by-fleet`), from any machine."""


@fleet_plan.command("status")
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def plan_status(context: FleetContext, as_json: bool) -> None:
    """Shows the plan as a majority of the gateways stores it, and what its owner is doing."""
    held, silent = [], []
    answers = context.request_all("GET", "/v1/plans")
    for name, status, body, _ in answers:
        try:
            message = msgspec.json.decode(body, type=dict[str, Any])["held"] if status == 200 else None
            if status != 200:
                silent.append(name)
            elif message is not None:
                held.append(msgspec.convert(message, PlanMessage))
        except (msgspec.MsgspecError, KeyError):
            silent.append(name)
    last = latest_plan(held)
    doing = next(
        (duty.doing for duty in summarize_duties(context.owner_reports()) if duty.duty == "restarts"), ""
    )
    holding_latest = [message for message in held if last is not None and message.order() == last.order()]
    out = {
        "plan": msgspec.to_builtins(last) if last else None,
        "doing": doing,
        "silent": silent,
        "held_by": len(holding_latest),
        "of": len(answers),
    }
    if as_json:
        click.echo(json.dumps(out))
    elif last is None:
        click.echo("no plan" + (f"; no answer from: {', '.join(silent)}" if silent else ""))
    else:
        reason = f", {last.why}" if last.why else ""
        stored_by = f"stored by {len(holding_latest)} of {len(answers)} gateways"
        click.echo(f"{plan_id_of(last)}: {last.word}{reason}; {stored_by}")
        click.echo(doing or "no known owner at present: the plan makes no progress")
    sys.exit(0 if len(silent) * 2 < len(answers) else 1)


def _add_plan_command(name: str, do: Any, summary: str) -> None:
    """Adds a command that sends the call `do` to the owner of the plan."""

    @fleet_plan.command(name, help=summary)
    @click.pass_obj
    def command(context: FleetContext) -> None:
        answer = context.send_plan_call(PlanCall(do))
        click.echo(f"{answer['id']}: {answer['word']}")


_add_plan_command(
    "stop", "stop", "Stops the plan: no more gateways restart; those under way finish by themselves."
)
_add_plan_command("resume", "resume", "Resumes a plan that was stopped or stopped itself.")
_add_plan_command("give-up", "give up", "Abandons the plan, so that it cannot be resumed.")


def _run_plan(context: FleetContext, journal: Journal, plan: Plan) -> None:
    """Executes a plan and prints its progress; exits with code 1 if it stops before its end."""
    loop = Loop()
    rolling = RollingChange(time.monotonic(), plan, journal.lines[1:])

    def print_line(line: dict[str, Any]) -> None:
        click.echo(format_line(line))

    try:
        result: Finished = loop.run(
            lambda: PlanRunner(loop, context.caller(loop), journal, rolling, print_line).run()
        )
    finally:
        journal.close()
    click.echo(", ".join(f"{number} {step}" for step, number in sorted(rolling.count_by_step().items())))
    if not result.ended:
        click.echo(f"stopped: {result.why}\njournal: {journal.path}; continue with `fleet resume`", err=True)
        sys.exit(1)


@fleet.command()
@click.argument("journal_file", type=click.Path(path_type=Path), required=False)
@click.option("--again", is_flag=True, help="Also retry the gateways that failed.")
@click.pass_obj
def resume(context: FleetContext, journal_file: Path | None, again: bool) -> None:
    """Resumes a plan that was interrupted or stopped; the newest one by default."""
    path = _plan_journal(context, journal_file)
    journal = Journal(path, context.lock_file())
    plan = plan_at_head(journal.lines, path)
    if again:
        journal.append({"ev": "again"})
    _run_plan(context, journal, plan)


@fleet.command("give-up")
@click.argument("journal_file", type=click.Path(path_type=Path), required=False)
@click.pass_obj
def give_up(context: FleetContext, journal_file: Path | None) -> None:
    """Abandons a plan, so that it cannot be resumed; the newest one by default."""
    journal = Journal(_plan_journal(context, journal_file), context.lock_file())
    journal.append({"ev": "given up", "t": round(time.time(), 3)})
    journal.close()


def _plan_journal(context: FleetContext, named: Path | None) -> Path:
    """Returns the named journal, or that of the newest unfinished plan; raises BadInput if there is none."""
    if named is not None:
        return named
    unfinished_plans = unfinished_journals(context.plans) if context.plans.is_dir() else []
    if not unfinished_plans:
        raise BadInput(f"{context.plans}: no plan is under way")
    return unfinished_plans[-1]


@fleet.command()
@click.argument("journal_file", type=click.Path(path_type=Path), required=False)
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def log(context: FleetContext, journal_file: Path | None, as_json: bool) -> None:
    """Prints the journal of a plan; the newest one by default."""
    journals = sorted(context.plans.glob("*.journal"))
    path = journal_file or (journals[-1] if journals else None)
    if path is None:
        raise BadInput(f"{context.plans}: no plan journals found")
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
def watch(context: FleetContext, every: float) -> None:
    """Shows zones, gateways, media hosts and a running plan live in the terminal."""
    import asyncio

    from ledgehitch.fleet.screen import FleetScreen

    options = [
        "--site",
        str(context.site_file),
        "--plans",
        str(context.plans),
        "--within",
        str(context.within),
    ]
    options += ["--admin-dir", str(context.admin_dir)] if context.admin_dir is not None else []
    options += ["--cert", str(context.cert)] if context.cert is not None else []

    async def fetch() -> tuple[list[QueryResult], list[dict[str, Any]]]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ledgehitch",
            "fleet",
            *options,
            "status",
            "--json",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        if process.returncode not in (0, 1):
            raise ValueError(err.decode("utf-8", "replace").strip()[-200:])
        journals = sorted(context.plans.glob("*.journal"))
        return msgspec.json.decode(out, type=list[QueryResult]), read_lines(journals[-1]) if journals else []

    FleetScreen(fetch, {target.name: target.zone for target in context.targets()}, every).run()
