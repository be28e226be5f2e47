"""Draws docs/capacity.svg from the data under docs/data."""

import json
import pathlib

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

DOCS = pathlib.Path(__file__).parent.parent / "docs"
SIZE_GOAL = 860


def read(name: str) -> dict:
    """Return one file of data."""
    path = DOCS / "data" / f"{name}.json"
    return json.loads(path.read_text(encoding="utf-8"))


def main() -> None:
    """Draw the plot."""
    matplotlib.rcParams["svg.hashsalt"] = "trefoilroute"
    rows = read("convergence")["convergence"]
    roles = read("roles")
    sizes = [row["proxies"] for row in rows]
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6.5))
    top, side = axes[0]
    top.plot(sizes, [r["change"]["in_force_p50_ms"] for r in rows], "o-")
    top.plot(sizes, [r["change"]["in_force_last_ms"] for r in rows], "s-")
    top.legend(["median proxy", "last proxy"])
    top.set(title="accepted to in force (ms)", ylim=(0, None))
    side.plot(
        sizes, [r["rest"]["bytes_per_proxy_s"]["all"] for r in rows], "o-"
    )
    side.plot(sizes, [r["change"]["all_bytes_per_proxy"] for r in rows], "s-")
    side.legend(["at rest, bytes/s", "each change, bytes"])
    side.set(title="control bytes a proxy", ylim=(0, None))
    low, last = axes[1]
    low.plot(sizes, [100 * r["rest"]["proxy_cpu_share"] for r in rows], "o-")
    low.plot(sizes, [100 * r["rest"]["control_cpu_share"] for r in rows], "s-")
    low.legend(["proxy", "control"])
    low.set(title="processor at rest (% of a core)", ylim=(0, None))
    hosts = [row["hosts"] for row in roles["fleet"]]
    last.plot(hosts, [row["rebuild_ms"] for row in roles["fleet"]], "o-")
    last.plot(
        [row["proxies"] for row in roles["moves"]],
        [row["leader_ms_a_second"] / 100 for row in roles["moves"]],
        "s-",
    )
    last.axvline(SIZE_GOAL, color="grey", linestyle=":")
    last.legend(
        ["rebuild of endpoints (ms)", "leader of a move (100 ms a second)"]
    )
    last.set(title="cores in one process", ylim=(0, None))
    for part in axes.flat:
        part.set_xlabel("hosts")
    figure.tight_layout()
    figure.savefig(DOCS / "capacity.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
