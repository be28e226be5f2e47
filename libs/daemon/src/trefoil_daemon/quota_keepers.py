"""The keeper of quotas in a control process, and who the keepers are."""

import typing

from trefoil_accounts import directory
from trefoil_accounts import quota_keeper
from trefoil_accounts import quota_terms
from trefoil_model import effects as common
from trefoil_wire import messages

if typing.TYPE_CHECKING:
    from . import control_process

# A keeper that replaces another one in its failure domain waits until that one
# has received the list without it.
HANDOVER_MS = 1000
ASK_ID_BITS = 48


def keepers_by_domain(
    control_hosts: messages.ControlHosts,
) -> dict[str, messages.ControlHost]:
    """Return the keeper of each failure domain by its name.

    It is the control host of the domain whose name comes first. All processes
    choose the same one from the same list.
    """
    keepers: dict[str, messages.ControlHost] = {}
    for host in control_hosts.hosts:
        current = keepers.get(host.domain)
        if current is None or host.name < current.name:
            keepers[host.domain] = host
    return keepers


class QuotaKeepers:
    """Connects the keeper of this failure domain to proxies and its peers.

    Args:
        process: The control process.
    """

    __slots__ = (
        "process",
        "keeper",
        "accounts",
        "knows_accounts",
        "list_number",
        "is_keeper",
        "active_from_ms",
        "limited",
    )

    def __init__(self, process: "control_process.ControlProcess") -> None:
        settings = process.settings
        self.process = process
        self.keeper = quota_keeper.QuotaKeeper(
            quota_terms.QuotaTerms(
                settings.quota_window_ms,
                settings.quota_overage,
                settings.quota_slack,
            ),
            process.rng.getrandbits(ASK_ID_BITS),
        )
        self.accounts = directory.Directory()
        self.knows_accounts = False
        self.list_number = 0
        self.is_keeper = False
        self.active_from_ms = 0
        self.limited: set[str] = set()

    def put_in_force(self) -> None:
        """Apply the accounts of the newest agreed configuration.

        The state of a process that has just started is that of its last
        snapshot. By its quotas, more would be granted than is allowed now.
        """
        process = self.process
        if not process.raft.caught_up or process.durability.failed:
            return
        self.knows_accounts = True
        accounts = directory.Directory.from_items(
            process.state.items, self.accounts
        )
        if accounts is not self.accounts:
            self.accounts = accounts
            now_ms = process.clock.boot_ms()
            self.keeper.put_in_force(accounts.by_name, now_ms)

    def on_ask(self, sender: str, ask: messages.TokenAsk) -> None:
        """Handle the question of a proxy or of another keeper."""
        if not self.is_keeper or not self.knows_accounts:
            return
        now_ms = self.process.clock.boot_ms()
        if now_ms >= self.active_from_ms:
            self._send(self.keeper.on_ask(sender, ask, now_ms))

    def on_reply(self, lender: str, reply: messages.TokenReply) -> None:
        """Handle a loan."""
        now_ms = self.process.clock.boot_ms()
        self._send(self.keeper.on_reply(lender, reply, now_ms))

    def tick(self) -> None:
        """Follow accounts and the list of control hosts, and end loans."""
        self.put_in_force()
        if not self.accounts.keys_required:
            return
        now_ms = self.process.clock.boot_ms()
        self._follow_list(now_ms)
        self._send(self.keeper.tick(now_ms))
        self._note_limited(now_ms)

    def _follow_list(self, now_ms: int) -> None:
        node = self.process.node
        control_hosts = node.overlay.control_hosts
        keepers = keepers_by_domain(control_hosts)
        own = keepers.pop(node.members.record.domain, None)
        is_keeper = own is not None and own.name == node.local_host
        if control_hosts.number != self.list_number:
            if is_keeper and not self.is_keeper and self.list_number:
                self.active_from_ms = now_ms + HANDOVER_MS
            self.list_number = control_hosts.number
            self.is_keeper = is_keeper
        peers = [k.name for k in keepers.values() if k.name in node.links]
        domains = self.process.settings.domains
        shares = len(domains) or len(keepers) + 1
        self.keeper.set_keepers(peers, shares, now_ms)

    def _note_limited(self, now_ms: int) -> None:
        """Log the accounts that reached their limits or are back below."""
        limited = self.keeper.limited_accounts(now_ms)
        for name in limited - self.limited:
            self._note("account.limited", name)
        for name in self.limited - limited:
            self._note("account.below_limit", name)
        self.limited = limited

    def _note(self, event: str, name: str) -> None:
        account = self.accounts.by_name.get(name)
        fields: dict[str, typing.Any] = {"account": name}
        if account is not None:
            fields["per_s"] = account.rate_per_s
            fields["burst"] = account.burst
            fields["domains"] = self.keeper.shares
        self.process.driver.note(common.Note(event, fields))

    def _send(self, sends: list[quota_keeper.Send]) -> None:
        for send in sends:
            if send.to_keeper:
                self.process.driver.link_send(send.to, send.message)
            else:
                self.process.driver.reply(send.to, send.message)
