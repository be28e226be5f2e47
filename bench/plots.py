"""Draws docs/capacity.svg from the data under docs/data."""

import json
import pathlib

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

DOCS = pathlib.Path(__file__).parent.parent / "docs"
DESIGN_FLEET_SIZE = 860


def read(name: str) -> dict:
    """Return the figures in one file of docs/data."""
    path = DOCS / "data" / f"{name}.json"
    return json.loads(path.read_text(encoding="utf-8"))


def main() -> None:
    """Draw the plots and save them."""
    matplotlib.rcParams["svg.hashsalt"] = "trefoilroute"
    rows = read("convergence")["convergence"]
    roles = read("roles")
    sizes = [row["proxies"] for row in rows]
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6.5))
    propagation, traffic = axes[0]
    propagation.plot(
        sizes, [r["change"]["in_force_p50_ms"] for r in rows], "o-"
    )
    propagation.plot(
        sizes, [r["change"]["in_force_last_ms"] for r in rows], "s-"
    )
    propagation.legend(["median proxy", "last proxy"])
    propagation.set(title="accepted to in force (ms)", ylim=(0, None))
    traffic.plot(
        sizes, [r["rest"]["bytes_per_proxy_s"]["all"] for r in rows], "o-"
    )
    traffic.plot(
        sizes, [r["change"]["all_bytes_per_proxy"] for r in rows], "s-"
    )
    traffic.legend(["at rest, bytes/s", "each change, bytes"])
    traffic.set(title="control bytes a proxy", ylim=(0, None))
    cpu, cores = axes[1]
    cpu.plot(sizes, [100 * r["rest"]["proxy_cpu_share"] for r in rows], "o-")
    cpu.plot(sizes, [100 * r["rest"]["control_cpu_share"] for r in rows], "s-")
    cpu.legend(["proxy", "control"])
    cpu.set(title="processor at rest (% of a core)", ylim=(0, None))
    hosts = [row["hosts"] for row in roles["fleet"]]
    cores.plot(hosts, [row["rebuild_ms"] for row in roles["fleet"]], "o-")
    cores.plot(
        [row["proxies"] for row in roles["moves"]],
        [row["leader_ms_a_second"] / 100 for row in roles["moves"]],
        "s-",
    )
    cores.axvline(DESIGN_FLEET_SIZE, color="grey", linestyle=":")
    cores.legend(
        ["rebuild of endpoints (ms)", "leader of a move (100 ms a second)"]
    )
    cores.set(title="cores in one process", ylim=(0, None))
    for panel in axes.flat:
        panel.set_xlabel("hosts")
    figure.tight_layout()
    figure.savefig(DOCS / "capacity.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
