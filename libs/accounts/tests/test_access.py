"""Which requests are served by the key that they carry."""

import pytest

from trefoil_accounts import access as accesses
from trefoil_accounts import directory
from trefoil_accounts import key_lease
from trefoil_fleet import items as item_store
from trefoil_model import keys
from trefoil_wire import messages

ALICE = messages.Account(
    name="alice", key_digests=[keys.digest_of(b"a1"), keys.digest_of(b"a2")]
)
BOB = messages.Account(name="bob", key_digests=[keys.digest_of(b"b1")])


def make_access(
    *accounts: messages.Account, revocation_ms: int = 0
) -> accesses.Access:
    access = accesses.Access(key_lease.KeyLease(revocation_ms))
    access.put_in_force(directory.Directory(True, accounts), 1)
    return access


@pytest.mark.parametrize(
    ("key", "open_route", "expected"),
    [
        ("a1", False, "alice"),
        ("a2", False, "alice"),
        ("b1", False, "bob"),
        ("b1", True, "bob"),
        ("", True, None),
        ("", False, 401),
        ("zz", False, 401),
        ("zz", True, 401),
        ("A1", False, 401),
        ("a1 ", False, 401),
        ("\udcff", False, 401),
    ],
)
def test_a_key_identifies_its_account(
    key: str, open_route: bool, expected: str | int | None
) -> None:
    access = make_access(ALICE, BOB)
    decision = access.check(key, open_route, 0)
    if isinstance(decision, accesses.Denied):
        assert decision.status == expected
        assert key not in decision.denial or not key
    else:
        account = decision.account
        assert (account.name if account else None) == expected


def test_without_accounts_every_request_is_served() -> None:
    access = accesses.Access(key_lease.KeyLease(5000))
    assert access.check("", False, 0) == accesses.Allowed(None)
    assert access.check("any", False, 0) == accesses.Allowed(None)


def test_the_last_account_that_was_removed_opens_nothing() -> None:
    access = make_access()
    assert access.check("a1", False, 0).status == 401
    assert access.check("", False, 0).status == 401


def test_a_proxy_that_cannot_confirm_keys_answers_503_instead_of_401() -> None:
    access = make_access(ALICE, revocation_ms=5000)
    for key in ("a1", "zz", ""):
        denied = access.check(key, False, 0)
        assert denied.status == 503
        assert denied.retry_after_ms > 0
    assert access.check("", True, 0) == accesses.Allowed(None)


def test_accounts_are_read_from_the_configuration() -> None:
    items = item_store.Items()
    assert not directory.Directory.from_items(items).keys_required
    items.set(1, item_store.ACCESS_POLICY, messages.AccessPolicy(True))
    items.set(2, item_store.ACCOUNT + "alice", ALICE)
    found = directory.Directory.from_items(items)
    assert found.keys_required
    assert found.find("a2").name == "alice"
    assert found.find("b1") is None


def test_no_digest_is_a_key() -> None:
    access = make_access(ALICE)
    digest = ALICE.key_digests[0]
    assert access.check(digest.hex(), False, 0).status == 401
    assert access.check(digest.decode("latin-1"), False, 0).status == 401


def test_a_hundred_thousand_keys_are_found_in_bounded_memory() -> None:
    accounts = [
        messages.Account(
            name=f"c{number}",
            key_digests=[
                keys.digest_of(f"{number}-{k}".encode()) for k in range(10)
            ],
        )
        for number in range(10_000)
    ]
    found = directory.Directory(True, accounts)
    assert found.find("9999-9").name == "c9999"
    assert found.find("9999-10") is None
    assert len(found.name_by_digest) == 100_000
