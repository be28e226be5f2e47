"""What processes read off a configuration, however it reached them."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from trefoil_accounts import directory
from trefoil_accounts import quota_keeper
from trefoil_accounts import quota_terms
from trefoil_fleet import items as item_store
from trefoil_model import keys
from trefoil_moves import command_results
from trefoil_moves import state as states
from trefoil_requests import routing
from trefoil_wire import frames
from trefoil_wire import messages

SERVICES = ("tables", "fourneau")
NAMES = ("a", "b", "c", "d", "e")
TERMS = quota_terms.QuotaTerms(5000, 0.1, 20)
# Small enough for drawn versions to exceed it.
FEW_TOMBSTONES = 3


def account(name: str, key: str = "", per_s: float = 0) -> messages.Account:
    """Return an account with one key, by default named as it is."""
    digest = keys.digest_of((key or name).encode())
    return messages.Account(name, [digest], 0, per_s, per_s)


def route(name: str, service: str = SERVICES[0]) -> messages.Route:
    """Return a route under a prefix of its own."""
    return messages.Route(
        name=name,
        host="*",
        prefix=f"/{name}/",
        methods=[],
        service_name=service,
        resource="",
        tenant="t",
        timeout_ms=1000,
        repeat=messages.Repeat.ANY,
    )


def apply(state: states.State, index: int, body: object) -> int:
    """Apply a command of its own id and return its outcome."""
    kind, data = frames.pack_any(body)
    command = messages.Command(f"c{index}", "ann", 0, kind, data)
    return state.apply(index, command).outcome


def version(
    routes: list[messages.Route],
    accounts: list[messages.Account] | None,
    services: tuple[str, ...] = SERVICES,
) -> messages.ApplyConfiguration:
    """Return the command that applies a configuration."""
    return messages.ApplyConfiguration(
        services=[messages.Service(name, [], "v1") for name in services],
        routes=routes,
        accounts=accounts,
    )


def document_of(state: states.State) -> dict[str, bytes]:
    """Return the items that a configuration document sets."""
    return {
        key: item.value
        for key, item in state.items.by_key.items()
        if key.startswith(item_store.DOCUMENT_PREFIXES) and not item.deleted
    }


def view(accounts: directory.Directory) -> tuple[object, ...]:
    """Return all that a directory answers."""
    return accounts.keys_required, accounts.by_name, accounts.name_by_digest


class Proxy:
    """A proxy's copy of the configuration, and the routes built from it."""

    def __init__(self) -> None:
        self.items = item_store.Items()
        self.table = routing.RouteTable(self.items)

    def receive(self, delta: messages.ConfigDelta) -> None:
        """Apply a delta as a proxy does."""
        items = self.items.with_delta(delta)
        assert items is not None
        self.items = items
        self.table = routing.RouteTable(items, self.table)


class Keeper:
    """The keeper of quotas at a control process."""

    def __init__(self) -> None:
        self.accounts = directory.Directory()
        self.core = quota_keeper.QuotaKeeper(TERMS)

    def read(self, items: item_store.Items) -> None:
        """Follow the newest agreed configuration."""
        self.accounts = directory.Directory.from_items(items, self.accounts)
        self.core.put_in_force(self.accounts.by_name, 0)


class ConfigurationViews(stateful.RuleBasedStateMachine):
    """Versions that reach proxies and keepers whole or as deltas."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(item_store, "MAX_TOMBSTONES", FEW_TOMBSTONES)
        self.state = states.State()
        self.index = 0
        self.changed_at = 0
        self.proxies = [Proxy(), Proxy()]
        self.keeper = Keeper()

    def teardown(self) -> None:
        self.patch.undo()

    @stateful.rule(
        route_names=st.sets(st.sampled_from(NAMES)),
        accounts=st.none()
        | st.dictionaries(
            st.sampled_from(NAMES),
            st.tuples(st.sampled_from(NAMES), st.sampled_from([0, 5, 9])),
        ),
        services=st.sampled_from([SERVICES, SERVICES[:1]]),
    )
    def apply_a_version(
        self,
        route_names: set[str],
        accounts: dict[str, tuple[str, int]] | None,
        services: tuple[str, ...],
    ) -> None:
        listed = None
        if accounts is not None:
            listed = [account(n, k, q) for n, (k, q) in accounts.items()]
        routes = [route(name) for name in route_names]
        before = document_of(self.state)
        self.index += 1
        apply(self.state, self.index, version(routes, listed, services))
        if document_of(self.state) != before:
            self.changed_at = self.index
        self.keeper.read(self.state.items)

    @stateful.rule(host=st.sampled_from(NAMES), draining=st.booleans())
    def drain_a_host(self, host: str, draining: bool) -> None:
        self.index += 1
        apply(self.state, self.index, messages.DrainHost(host, draining))

    @stateful.rule(keeps_state=st.booleans())
    def restart_control(self, keeps_state: bool) -> None:
        self.state = states.State.from_bytes(self.state.to_bytes())
        if not keeps_state:
            self.keeper = Keeper()
        self.keeper.read(self.state.items)

    @stateful.rule(
        number=st.integers(0, 1), back=st.none() | st.integers(0, 2)
    )
    def send_a_delta(self, number: int, back: int | None) -> None:
        """Send what changed since a revision, or the whole for None."""
        proxy = self.proxies[number]
        known = 0 if back is None else max(proxy.items.revision - back, 0)
        proxy.receive(self.state.items.delta_since(known))

    @stateful.rule(number=st.integers(0, 1))
    def restart_a_proxy(self, number: int) -> None:
        self.proxies[number] = Proxy()

    @stateful.invariant()
    def proxies_see_what_a_fresh_proxy_sees(self) -> None:
        for proxy in self.proxies:
            fresh = routing.RouteTable(proxy.items)
            assert view(proxy.table.accounts) == view(fresh.accounts)
            assert proxy.table.routes == fresh.routes
            assert proxy.table.services == fresh.services
            assert proxy.table.shares == fresh.shares
            assert proxy.table.limits == fresh.limits
            assert proxy.table.excluded.hosts == fresh.excluded.hosts

    @stateful.invariant()
    def a_proxy_at_the_newest_revision_holds_its_items(self) -> None:
        for proxy in self.proxies:
            if proxy.items.revision == self.state.items.revision:
                assert proxy.items.digest == self.state.items.digest

    @stateful.invariant()
    def the_keeper_knows_the_agreed_accounts(self) -> None:
        fresh = directory.Directory.from_items(self.state.items)
        assert self.keeper.core.accounts == fresh.by_name

    @stateful.invariant()
    def writers_are_told_when_the_configuration_changed(self) -> None:
        told = command_results.configuration_revision(self.state.items)
        assert told == self.changed_at


ConfigurationViews.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)
TestConfigurationViews = ConfigurationViews.TestCase


def test_a_key_that_left_with_many_routes_opens_nothing() -> None:
    """A proxy kept the accounts of before: no tombstone of one reached it."""
    state = states.State()
    many = [route(f"r{n}") for n in range(item_store.MAX_TOMBSTONES + 1)]
    stays, leaves = account("stays"), account("leaves")
    apply(state, 1, version([route("r"), *many], [stays, leaves]))
    proxy = Proxy()
    proxy.receive(state.items.delta_since(0))
    assert proxy.table.accounts.find("leaves") is not None
    apply(state, 2, version([route("r")], [stays]))
    proxy.receive(state.items.delta_since(1))
    assert proxy.table.accounts.find("leaves") is None
    assert proxy.table.accounts.find("stays") is not None


def test_a_keeper_forgets_an_account_that_left_with_many_routes() -> None:
    """The account's tombstone is the oldest and the first to be dropped."""
    state = states.State()
    keeper = Keeper()
    many = [route(f"r{n}") for n in range(item_store.MAX_TOMBSTONES + 1)]
    stays, leaves = account("stays"), account("leaves", per_s=5)
    apply(state, 1, version([], [stays, leaves]))
    apply(state, 2, version(many, [stays, leaves]))
    keeper.read(state.items)
    apply(state, 3, version([], [stays]))
    keeper.read(state.items)
    assert list(keeper.core.accounts) == ["stays"]


def test_a_writer_is_not_refused_once_deletions_are_forgotten() -> None:
    """Newer deletions of other items hid when the document had changed."""
    state = states.State()
    apply(state, 1, version([route("a"), route("b")], None))
    apply(state, 2, version([route("a")], None))
    index = 2
    for number in range(item_store.MAX_TOMBSTONES + 1):
        for draining in (True, False):
            index += 1
            apply(state, index, messages.DrainHost(f"h{number}", draining))
    body = version([], None)
    body.expected_revision = 2
    assert apply(state, index + 1, body) == messages.Outcome.DONE


def test_a_restored_control_process_sends_no_delta_without_deletions() -> None:
    """A proxy refused it by its digest, and asked once more for the whole."""
    state = states.State()
    many = [route(f"r{n}") for n in range(item_store.MAX_TOMBSTONES + 1)]
    apply(state, 1, version(many, None))
    proxy = Proxy()
    proxy.receive(state.items.delta_since(0))
    apply(state, 2, version([], None))
    restored = states.State.from_bytes(state.to_bytes())
    proxy.receive(restored.items.delta_since(1))
    assert not proxy.table.routes
