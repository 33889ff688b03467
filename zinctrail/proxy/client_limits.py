"""Limits on clients of open traffic, passed from the configuration to the server that enforces them."""

import dataclasses

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.runtime.effects as effects


class ClientLimits(proxy_part.ProxyPart):
    """Passes the configured limits on to the server of open traffic."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start with the default limits, before the first version of the state."""
        super().__init__(proxy)
        # The limits that were passed to the server last.
        self.limits = effects.Limits()

    def update(self) -> None:
        """Apply a new version of the state: pass the limits to the server of open traffic if they changed."""
        row = self.proxy.routes.item('limits') or {}
        names = [field.name for field in dataclasses.fields(effects.Limits)]
        limits = effects.Limits(**{name: row[name] for name in names if name in row})
        if limits != self.limits:
            self.limits = limits
            self.proxy.out.append(limits)
