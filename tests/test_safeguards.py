"""Checks the table of safeguards against the code and tests it names."""

import pathlib

import pytest
import yaml

ROOT = pathlib.Path(__file__).parent.parent
TABLE = yaml.safe_load((ROOT / "bench" / "safeguards.yaml").read_text("utf-8"))


@pytest.mark.parametrize("row", TABLE, ids=lambda row: row["name"])
def test_each_safeguard_matches_its_code_and_test(row: dict[str, str]) -> None:
    """Each row's text must be in the code and its test must exist.

    Otherwise the row would disable no safeguard and so prove nothing.
    """
    text = (ROOT / row["file"]).read_text("utf-8")
    assert text.count(row["old"]) == 1
    file, _, name = row["test"].partition("::")
    assert name.partition("[")[0] in (ROOT / file).read_text("utf-8")
