"""The replicated state: tables of rows, and how a generation changes them.

tables: {table: {key: value}}; values are never changed in place.
rows: [[table, key, value or None]]; None forgets the key.
"""

# Why two parts: every ztdir and ztprox needs the routes; only voters need the rest.
ROUTES = ('meta', 'conf', 'items', 'cells', 'endpoints', 'members', 'duties')


def fold(tables, rows):
    for table, key, val in rows:
        if val is None:
            tables.get(table, {}).pop(key, None)
        else:
            tables.setdefault(table, {})[key] = val


def routes_of(rows):
    return [row for row in rows if row[0] in ROUTES]


class Replica:
    """What one node accepted last, and how much of it is known to be committed.

    `tables` holds everything but the newest accepted generation, whose rows
    wait in `pending` until it is committed or built upon.
    """

    def __init__(self):
        self.tables = {}
        self.pending = []
        self.accepted = (0, 0)
        self.committed = (0, 0)
        self.unsaid = []
        self.full_unsaid = False

    def get(self, table, key=None):
        rows = self.tables.get(table, {})
        return rows if key is None else rows.get(key)

    def latest(self, table, key):
        """As `get`, with the accepted but uncommitted rows in force."""
        for t, k, val in reversed(self.pending):
            if t == table and k == key:
                return val
        return self.get(table, key)

    def whole(self, routes=False):
        tables = {t: dict(rows) for t, rows in self.tables.items() if not routes or t in ROUTES}
        fold(tables, routes_of(self.pending) if routes else self.pending)
        return tables

    def fits(self, at, base, full):
        """Whether a generation at `at` may follow what is accepted here."""
        # Why (term, generation) pairs: receivers never go back, not even to the same number.
        return at > self.accepted and (full or base == self.accepted)

    def accept(self, at, rows=None, full=None):
        if full is not None:
            self.tables = full
            self.pending = []
            self.unsaid = []
            self.full_unsaid = True
        else:
            self.settle()
            self.pending = rows
        self.accepted = at

    def settle(self):
        fold(self.tables, self.pending)
        self.unsaid.extend(self.pending)
        self.pending = []

    def commit(self, at):
        """Take the accepted generation into force.

        Returns the rows that came into force, or None for everything at once.
        """
        if at != self.accepted or at == self.committed:
            return []
        self.settle()
        self.committed = at
        rows, self.unsaid = self.unsaid, []
        if self.full_unsaid:
            self.full_unsaid = False
            return None
        return rows


def quorum(nodes, config):
    """A strict majority of the configuration."""
    return bool(config) and 2 * len(set(nodes) & set(config)) > len(config)


def quorum_both(nodes, vc):
    # Why both: during a change neither the old nor the new set may be passed by.
    return bool(vc) and quorum(nodes, vc['committed']) and quorum(nodes, vc['accepted'])
