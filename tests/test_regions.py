"""Two regions of several processes, partitioned from each other; checked by the traffic on the sockets."""

import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ledgehitch.config.site import RegionRecord
from ledgehitch.proof.budgeted import FleetLimits, check_budgets
from ledgehitch.regions.facts import WHOLE
from ledgehitch.rehearsal.fleet import FleetRig
from ledgehitch.rehearsal.play import DidNotStart

RATE, SET_UPS = 20.0, 30.0
DOOR = {"on": True, "package_rates": {"recorded": RATE}, "set_ups": SET_UPS}
REGIONS = ({"name": "north", "zones": ["z0"]}, {"name": "south", "zones": ["z1"]})
WITHIN, CUT = 15.0, 20.0  # seconds until the whole is in use again, and of the partition


def make_rig(directory: Path, **more: Any) -> FleetRig:
    """Returns a rig whose viewers request three times the admitted rate and watch so briefly that hosts have
    room."""
    return FleetRig(
        directory, 6, zones=2, hosts=9, rate=3 * RATE, watch=0.3, door=DOOR, regions=REGIONS, **more
    )


def admitted_share(rig: FleetRig, seconds: float = 4.0) -> float:
    """Returns the fraction of the whole rate that was admitted recently, as seen by the media hosts."""
    now = time.monotonic()
    return rig.first_tune_ins(now - seconds, now) / seconds / RATE


def wait_for_owners(rig: FleetRig, within: float = 60.0) -> list[str]:
    return [rig.owner("budgets", within=within, region=r) for r in ("north", "south")]


def in_force(rig: FleetRig, name: str) -> float:
    status = rig.asked(name, "/v1/owners")
    return status["share"]["in_force"] / WHOLE if status else -1.0


def test_partitioned_regions_own_their_duties_and_admit_the_whole(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.start_all()
        wait_for_owners(rig)
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        rig.cut("region north")
        cut = time.monotonic()
        wait_for_owners(rig, 2 * rig.lease + 1.0)
        rig.until(lambda: admitted_share(rig) >= 0.9, WITHIN, 0.5)
        since = time.monotonic()
        rig.loop.sleep(cut + CUT - since)
        assert rig.first_tune_ins(since) / (time.monotonic() - since) / RATE >= 0.9, (
            "during the whole partition"
        )
        wait_for_owners(rig, 2 * rig.lease + 1.0)
        code, output = rig.fleet("owners")
        assert code == 1 and "budgets (north)" in output and "budgets (south)" in output, output
        assert "it needs a majority of the gateways of all regions" in output, output
        code, output = rig.fleet("budgets")
        assert "share 0.500" in output and "nobody is known to lend" not in output, output
        rig.heal()
        rig.owner("restarts")
        # Partitions in one direction each, with an owner that is suspended meanwhile and resumes late.
        for there, back in ((True, False), (False, True)):
            rig.cut("region north", there=there, back=back)
            stopped = rig.owner("budgets", region="north")
            rig.suspend(stopped)
            rig.owner("budgets", but=[stopped], region="north")
            rig.resume(stopped)
            wait_for_owners(rig)
            rig.heal()
        rig.owner("restarts")
        # One gateway of three fails during a partition: the others of its region go on.
        rig.cut("region north")
        lost = rig.owner("budgets", region="south")
        rig.kill(lost)
        rig.owner("budgets", but=[lost], region="south")
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)

    rig = make_rig(tmp_path)
    rig.run(script)
    assert rig.over_budget() == [] and rig.broken() == []


def test_shares_change_safely_and_a_gone_regions_share_is_distributed(tmp_path: Path) -> None:
    north, south = ("g0", "g2", "g4"), ("g1", "g3", "g5")

    def set_regions(rig: FleetRig, *regions: dict[str, Any]) -> None:
        rig.site = msgspec.structs.replace(rig.site, regions=msgspec.convert(regions, list[RegionRecord]))
        rig.write_site()

    def restart(rig: FleetRig, *names: str) -> None:
        for name in names:
            rig.kill(name)
            rig.start_all([name])

    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.until(lambda: all(in_force(rig, n) == 0.5 for n in rig.names), 60.0)
        wait_for_owners(rig)
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        set_regions(rig, {**REGIONS[0], "share": 0.75}, {**REGIONS[1], "share": 0.25})
        restart(rig, *north)
        wait_for_owners(rig)
        rig.until(lambda: all(rig.asked(n, "/v1/owners")["region"]["settled"] for n in north), 60.0)
        assert [in_force(rig, n) for n in north] == [0.5] * 3, "the south uses the former version"
        code, output = rig.fleet("owners")
        assert "its region uses 0.500 of the whole, 0.750 is stated" in output, output
        restart(rig, "g1")  # no majority of three yet
        assert in_force(rig, "g1") == 0.25
        rig.until(lambda: "g1" in rig.asked("g0", "/v1/owners")["share"]["go_by_it"], 60.0)
        rig.loop.sleep(3 * rig.lease)
        assert [in_force(rig, n) for n in north] == [0.5] * 3
        rig.kill("g0")
        rig.start_all(["g0"])  # a restart keeps the wait
        assert in_force(rig, "g0") == 0.5
        restart(rig, "g3", "g5")
        rig.until(lambda: all(in_force(rig, n) == 0.75 for n in north), 60.0)
        wait_for_owners(rig)
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        # The whole south fails, and an operator declares it gone.
        for name in south:
            rig.kill(name)
        set_regions(rig, {**REGIONS[0], "share": 0.75}, {**REGIONS[1], "share": 0.25, "gone": True})
        restart(rig, *north)
        rig.until(lambda: all(in_force(rig, n) == 1.0 for n in north), 60.0)
        rig.owner("budgets", region="north")
        rig.owner("restarts")  # by all three remaining gateways
        with pytest.raises(DidNotStart):
            rig.start_gateway("g1")
        assert "g1: region 'south' has no gateway that is not declared gone" in rig.log_of("g1")
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)

    rig = make_rig(tmp_path)
    rig.run(script)
    # Own parts were of two versions, so only loans and admissions are checked.
    patience = max(p.patience for p in rig.site.packages)
    assert check_budgets(rig.lines(), FleetLimits({"recorded": RATE}, SET_UPS, 6, patience)) == []
    assert rig.broken() == []
