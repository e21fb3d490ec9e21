"""Tests of the check of the operator lists."""

import hashlib
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from acaciawing.configuration import (
    CheckedLists,
    Code,
    Customer,
    Plan,
    Service,
    Source,
    check_files,
    check_lists,
)

BROKEN = Path(__file__).parent / "broken"
DIGEST = hashlib.sha256(b"sample-salon").hexdigest()
CUSTOMERS = f"""\
[[customers]]
name = "salon"
plan = "rounds"
credential_sha256 = "{DIGEST}"
"""
PLANS = """\
[plans.rounds]
success_rate = 0.999
window = "7d"
deadline = "250ms"
rate = "90/m"
concurrency = 16
queue = 0
services = ["visits"]

[services.visits]
pool = "visits"
"""


def check(customers: str = CUSTOMERS, plans: str = PLANS) -> CheckedLists:
    return check_lists(
        Source("customers.toml", customers.encode()),
        Source("plans.toml", plans.encode()),
    )


def summaries(checked: CheckedLists) -> list[str]:
    return [f"{f.place}: {f.code.value}" for f in checked.findings]


class TestCheckLists:
    """Guards against accepting invalid lists or missing one of their faults."""

    def test_values_are_converted_to_base_units(self) -> None:
        checked = check()
        assert checked.findings == ()
        assert checked.configuration is not None
        assert checked.configuration.customers == (
            Customer("salon", "rounds", DIGEST),
        )
        assert checked.configuration.plans == (
            Plan("rounds", 0.999, 604800.0, 0.25, 1.5, 16, 0, ("visits",)),
        )
        assert checked.configuration.services == (Service("visits", "visits"),)

    def test_inline_and_dotted_layouts_are_equivalent(self) -> None:
        plans = PLANS.replace(
            '[services.visits]\npool = "visits"',
            '[services]\nvisits = { pool = "visits" } # inline',
        )
        assert check(plans=plans).configuration == check().configuration
        flat = PLANS.replace("[plans.rounds]\n", "").split("\n[services")[0]
        dotted = "".join(f"plans.rounds.{s}\n" for s in flat.splitlines())
        dotted += 'services.visits.pool = "visits"\n'
        assert check(plans=dotted).configuration == check().configuration

    def test_all_findings_of_invalid_lists(
        self, snapshot: SnapshotAssertion, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.chdir(BROKEN)
        checked = check_files(Path("customers.toml"), Path("plans.toml"))
        assert checked.configuration is None
        assert [str(f) for f in checked.findings] == snapshot

    def test_no_finding_shows_a_credential(self) -> None:
        customers = CUSTOMERS.replace(DIGEST, "hunter2")
        for text in (customers, customers + "x\n", customers[:-2] + "\n"):
            checked = check(text)
            assert checked.findings
            assert not any("hunter2" in str(f) for f in checked.findings)

    @pytest.mark.parametrize(
        ("old", "new", "finding"),
        [
            ('"250ms"', '"8d"', "4:12: deadline-exceeds-window"),
            ('"7d"', '"10m"', "2:16: budget-below-one"),
            ("queue = 0", "queue = 1", "7:9: queue-exceeds-deadline"),
            ("0.999", "1.0", "2:16: unmeetable-rate"),
            ("0.999", "nan", "2:16: out-of-range"),
            ("= 16", "= 0", "6:15: no-allowance"),
            ("= 16", "= 16.0", "6:15: wrong-type"),
            ("= 16", f"= 1{'0' * 5000}", "6:1: syntax-error"),
            ('["visits"]', "[]", "8:12: plan-without-services"),
            ('["visits"]', '[["visits"]]', "8:13: wrong-type"),
            ('"90/m"', '"90"', "5:8: wrong-unit"),
            ('"90/m"', '"9999999/s"', "5:8: out-of-range"),
            ("rounds]", '"Rounds 1"]', "1:1: malformed-name"),
        ],
    )
    def test_fault_is_reported_at_its_place(
        self, old: str, new: str, finding: str
    ) -> None:
        checked = check(plans=PLANS.replace(old, new))
        assert f"plans.toml:{finding}" in summaries(checked)

    def test_place_counts_characters_not_bytes(self) -> None:
        customers = (
            CUSTOMERS.replace(f'"{DIGEST}"', '"" # č', 1)
            + '"čšž" = 1\n"a" = 2 # "č'
        )
        assert (
            summaries(check(customers))[1] == "customers.toml:5:1: unknown-key"
        )
        inline = 'customers = [{ name = "č", plan = 3 }]'
        assert "customers.toml:1:35: wrong-type" in summaries(check(inline))

    def test_syntax_error_hides_no_other_fault(self) -> None:
        plans = PLANS.replace("= 16", "= = 16") + 'spare = "no"\nslots 3\n'
        assert summaries(
            check(CUSTOMERS.replace('"rounds"', '"x"'), plans)
        ) == [
            "customers.toml:3:8: undefined-plan",
            "plans.toml:6:15: syntax-error",
            "plans.toml:12:9: wrong-type",
            "plans.toml:13:7: syntax-error",
        ]

    def test_unreadable_definition_is_not_reported_as_undefined(self) -> None:
        checked = check(plans=PLANS.replace("[plans.rounds]", "[plans.rounds"))
        assert summaries(checked) == ["plans.toml:1:14: syntax-error"]

    def test_bad_encoding_is_reported_once_a_line(self) -> None:
        data = CUSTOMERS.encode() + b"# \xc5 and\n# \xc4\x8d \xff\n"
        plans = Source("plans.toml", PLANS.encode())
        checked = check_lists(Source("customers.toml", data), plans)
        assert summaries(checked) == [
            "customers.toml:5:3: bad-encoding",
            "customers.toml:6:5: bad-encoding",
        ]

    def test_unreadable_files_are_both_reported(self, tmp_path: Path) -> None:
        checked = check_files(tmp_path, tmp_path / "absent.toml")
        codes = [finding.code for finding in checked.findings]
        assert codes == [Code.UNREADABLE_FILE, Code.UNREADABLE_FILE]

    def test_empty_lists_are_refused(self) -> None:
        checked = check("customers = []", "[plans]\n[services]\n")
        assert summaries(checked) == [
            "customers.toml:1:13: empty-list",
            "plans.toml:1:1: empty-list",
            "plans.toml:2:1: empty-list",
        ]
        assert summaries(check("", "")) == [
            "customers.toml:1:1: missing-key",
            "plans.toml:1:1: missing-key",
            "plans.toml:1:1: missing-key",
        ]

    def test_deep_nesting_is_a_finding(self) -> None:
        deep = "x = " + "[" * 5000 + "]" * 5000
        dotted = "x" + ".x" * 3000 + " = 1"
        for text in (deep, dotted, f"[{dotted[:-4]}]"):
            codes = {f.code for f in check(CUSTOMERS + text).findings}
            assert Code.NESTED_TOO_DEEPLY in codes

    def test_services_disagree_whether_a_pool_is_spare(self) -> None:
        plans = PLANS + '[services.portal]\npool = "visits"\nspare = true\n'
        assert summaries(check(plans=plans)) == [
            "plans.toml:14:9: inconsistent-spare"
        ]
