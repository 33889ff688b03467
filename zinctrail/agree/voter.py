"""The control nodes' agreement: terms, votes, publication, voting sets, bootstrap.

Follows PAPER-elasticsearch-distributed-arch-c3d8.md as fixed by
DESIGN-zinctrail.md; docs/design.md lists what differs and why.
"""

import collections
import uuid
import zlib

import zinctrail.agree.frames as frames
import zinctrail.agree.journal as journal
import zinctrail.agree.partner as partner
import zinctrail.agree.replica as replica
import zinctrail.faults as faults
import zinctrail.measures as measures
import zinctrail.seam as seam

tup = partner.tup
# Why: a process's list of seeds is short; what it may make us probe is bounded.
SEEDS_MOST = 16
NO_MASTER = {'status': 421, 'fault': 'not the master'}
LOST = partner.LOST
# Why apart: what found nothing to change may have been done by a copy of it before.
UNSURE = {'status': 421, 'unknown': True, 'fault': 'not the master any more'}
# How many outcomes a master remembers of what it was asked, and for how long.
TOLD_MOST = 4096
# How many generations may be on their way at once, and how many a master keeps to send on.
FLIGHTS_MOST = 16
CHANGES_MOST = 2048
TOLD = seam.ms(10000)


class Txn:
    """One generation being computed: reads see what it wrote so far, and all that was accepted before it."""

    def __init__(self, rep, at, now):
        self.rep = rep
        self.at = at
        self.gen = at[1]
        self.now = now
        self.new = {}
        self.trail = None

    def get(self, table, key):
        if (table, key) in self.new:
            return self.new[table, key]
        return self.old(table, key)

    def old(self, table, key):
        return self.rep.latest(table, key)

    def old_rows(self, table):
        return self.rep.whole_of(table)

    def put(self, table, key, val):
        if self.get(table, key) != val:
            if self.trail is not None:
                self.trail.append(((table, key), (table, key) in self.new, self.new.get((table, key))))
            self.new[table, key] = val

    def drop(self, table, key):
        self.put(table, key, None)

    def items(self, table):
        rows = self.old_rows(table)
        for (t, k), val in self.new.items():
            if t == table:
                rows[k] = val
        return {k: v for k, v in rows.items() if v is not None}

    def run(self, fn):
        """One task within the generation; a task that faults leaves nothing behind."""
        self.trail = []
        try:
            return fn(self)
        except faults.CallFault as e:
            for key, had, old in reversed(self.trail):
                if had:
                    self.new[key] = old
                else:
                    del self.new[key]
            return {'status': e.status, 'fault': str(e), **e.more}
        finally:
            self.trail = None

    def rows(self):
        return [[t, k, v] for (t, k), v in self.new.items() if self.old(t, k) != v]


class View(Txn):
    """What is in force, for who only reads."""

    def old(self, table, key):
        return self.rep.get(table, key)

    def old_rows(self, table):
        return dict(self.rep.get(table))


class Peer:
    """A member as the master sees it."""

    def __init__(self, node, row, now):
        self.node = node
        self.addr = row['addr']
        self.role = row['role']
        self.level = row.get('level', 1)
        self.accepted = None
        # What was sent last and is counted on to arrive; None where it has to be found out.
        self.sent = None
        # Up to where it was told what is committed, and knows it.
        self.told = (0, 0)
        self.committed = (0, 0)
        # The last round that it answered, and when that came.
        self.acked = 0
        self.acked_at = now
        self.ack_at = now
        self.offered = seam.ZERO
        # When it was last sent a check.
        self.checked = seam.ZERO
        # The newest answer of its that a lease may rest on, and when that came; when it was last granted one.
        self.good = 0
        self.good_at = now
        self.granted = None


class Voter(partner.Partner):
    role = 'core'
    prefix = 'core'

    def __init__(self, place, bounds, rng, files=None):
        node, cluster, term, vote, rep = journal.load(files or {})
        super().__init__(place, bounds, rng, node or '')
        self.fresh = node is None
        self.files = set(files or {})
        self.cluster = cluster
        self.term = term
        self.vote = vote
        self.rep = rep
        # Why: nothing is known to be in force until a master says so.
        rep.full_unsaid = True
        self.unfit = False
        # The cluster that took the place of ours, where an operator gave ours up.
        self.given_up = journal.dec('retired', files['retired'])['for'] if 'retired' in (files or {}) else ''
        self.since_ckpt = 0
        self.gen_bytes = 0
        self.ckpt_bytes = 0
        self.tries = 0
        self.prevotes = None
        self.votes = None
        self.voted_at = None
        self.views = {}
        # Which seeds each process heard of was given: {its address: (when heard, seeds)}.
        self.named = {}
        self.boot_seen = None
        self.boot_rounds = 0
        self.boots = None
        self.pushes = 0
        self.joined_at = {}
        self.peers = {}
        # Publications of the newest generation: {(accepted, at, whether to a control node, base): frame}.
        self.offers = {}
        self.tasks = []
        # Generations on their way to a quorum, the oldest first.
        self.flights = collections.deque()
        self.pumped_at = None
        # Whether the voting set is to change: nothing new is published until all is committed.
        self.settling = False
        self.fences = []
        self.changes = collections.deque(maxlen=CHANGES_MOST)
        # The generations that were committed: (at, when, whether routes changed).
        self.commits = collections.deque(maxlen=CHANGES_MOST)
        self.round = 0
        self.rounds = {}
        self.quorum_at = seam.ZERO
        self.quorum_round = 0
        self.faulty = {}
        self.vc_gone = {}
        self.counts = collections.Counter()
        # Keys of the asks of others that are being done.
        self.asked = set()
        # Their outcomes, for copies that come after: {key: (when, result)}.
        self.told = collections.OrderedDict()

    # -- disk -------------------------------------------------------------

    def write(self, name, doc, gone=()):
        self.files.add(name)
        self.files -= set(gone)
        text = journal.enc(doc)
        self.out.append(seam.Write(name, text, tuple(gone)))
        return len(text)

    def on_start(self):
        if self.given_up:
            self.log(f'Its cluster was given up for {self.given_up}: does nothing; clear the data folder.')
            return
        left = journal.needless(self.files)
        # Why now: over restarts more frequent than checkpoints they would pile up.
        self.write('node', self.who(), left)
        for node, m in self.rep.whole().get('members', {}).items():
            self.remember(m['addr'], node, m['role'])
        super().on_start()

    def who(self):
        # Why at every start: from here on the folder may hold what older programs can't read.
        return {'id': self.node, 'format': journal.FORMAT}

    def raise_term(self, term, vote=None):
        self.term = term
        self.vote = vote
        self.votes = None
        self.write('term', {'term': term, 'vote': vote})

    def keep(self, at, base, rows, full):
        self.since_ckpt += 1
        # Why by size too: a large state must not be written whole for a few small generations.
        due = self.since_ckpt >= self.bounds.checkpoint_every and self.gen_bytes >= self.ckpt_bytes
        if full is not None or due:
            self.write_ckpt()
        else:
            self.gen_bytes += self.write(
                journal.gen_name(at), {'term': at[0], 'gen': at[1], 'base': base, 'rows': rows}
            )

    def write_ckpt(self):
        self.since_ckpt = 0
        at = self.rep.accepted
        name = journal.ckpt_name(at)
        gone = sorted(n for n in self.files if n.startswith(('gen-', 'ckpt-')) and n != name)
        self.gen_bytes = 0
        self.ckpt_bytes = self.write(name, {'term': at[0], 'gen': at[1], 'tables': self.rep.whole()}, gone)

    def on_disk_fault(self, text):
        """A write failed: what stood behind it was not done, and nothing more is promised."""
        if not self.unfit:
            self.log(f'Disk can not be written: {text}. Does not vote or lead.', 'disk', fit=False, why=text)
        self.unfit = True
        if self.mode == 'leader':
            # Why named: it needs no pre-vote, and nobody has to find out that we are gone.
            self.name_successor()
            self.step_down('disk')
        self.votes = self.prevotes = None
        self.alarm('disk', seam.ms(1000))

    def alarm_disk(self):
        # Why everything again: any of the writes since may be the one that is missing.
        self.write('node', self.who())
        self.write('term', {'term': self.term, 'vote': self.vote})
        if self.rep.accepted > (0, 0):
            self.write_ckpt()
        self.out.append(seam.Done('disk'))

    def on_done(self, name):
        self.unfit = False
        self.log('Disk can be written again.', 'disk', fit=True)

    def on_recv(self, env):
        if self.given_up:
            return
        # Why: a voter that can't write answers nothing that would need writing.
        if self.unfit and env.get('t') not in ('probe', 'probe_re', 'ask_re', 'fetched'):
            return
        super().on_recv(env)

    # -- bootstrap without a list -----------------------------------------

    def find_targets(self):
        if self.mode == 'leader':
            # Why go on looking: a node whose seeds are all stale is found at its old address.
            here = {p.addr for p in self.peers.values()}
            return sorted(a for a in self.known if a not in here)
        out = super().find_targets()
        if self.mode == 'candidate' and self.empty():
            # Why all that anybody names: whether they answer decides whether we may form.
            out = sorted({*out, *self.all_named()} - {self.place.addr})
        return out

    def m_probe(self, env):
        self.note_named(env)
        super().m_probe(env)

    def note_named(self, env):
        if self.empty():
            self.named[env['a']] = (self.now, [s for s in env.get('seeds', ()) if frames.is_addr(s)][:SEEDS_MOST])

    def all_named(self):
        """Every naming of a seed by a process heard lately, of any role, ourselves included."""
        limit = self.now - self.bounds.probe * 10
        return [s for at, seeds in self.named.values() if at >= limit for s in seeds] + list(self.place.seeds)

    def fresh_known(self):
        return {k['id']: a for a, k in self.known.items() if k['role'] == 'core' and k['id'] and self.answers(k)}

    def boot_view(self):
        """Every control node that we or anyone who answers us has heard of lately."""
        limit = self.now - self.bounds.probe * 3
        view = {self.node} | set(self.fresh_known())
        for at, doc in self.views.values():
            if at >= limit:
                view |= set(doc['partners'])
        return sorted(view)

    def seeds_heard(self):
        """(how many of all namings of seeds answer, how many there are, the silent ones)"""
        named = self.all_named()
        silent = [s for s in named if s != self.place.addr and not (s in self.known and self.answers(self.known[s]))]
        return len(named) - len(silent), len(named), sorted(set(silent))

    def seeds_ok(self):
        up, named, _ = self.seeds_heard()
        # Why two thirds of all namings: two groups that can't see each other can't both have as many of what
        # their own members name, unless their members were given seeds apart (docs/notes/membership.md).
        return named > 0 and 3 * up >= 2 * named

    def empty(self):
        return self.rep.accepted == (0, 0) and not self.cluster

    def find_extra(self):
        if not self.empty():
            return {}
        return {'view': self.boot_view(), 'seeds_ok': self.seeds_ok()}

    def m_probe_re(self, env):
        self.note_named(env)
        super().m_probe_re(env)
        self.views[env['f']] = (
            self.now,
            {
                'partners': [n for _, n, fresh in env['partners'] if n and fresh],
                'view': env.get('view'),
                'seeds_ok': env.get('seeds_ok', False),
                'cluster': env.get('c', ''),
            },
        )
        # Why here too: the sooner a quorum is in sight, the shorter the time without a master.
        if self.mode == 'candidate' and self.rep.accepted > (0, 0) and not self.stopping:
            self.plan_election()

    def can_join(self):
        return not self.stopping and not self.unfit

    def retired(self, env):
        """Durable and for good: an operator clears the folder (docs/operate/recover.md)."""
        if self.cluster in env['of'] and not self.given_up:
            if self.mode == 'leader':
                self.step_down('given up')
            self.log(f'Cluster {self.cluster} was given up for {env["c"]}: does nothing more; clear the data folder.')
            self.given_up = env['c']
            self.master, self.mode, self.alarms = None, 'candidate', {}
            self.write('retired', {'for': env['c']})

    def begin(self, cluster, term, gen, full, known):
        """Begin as the only voter of a cluster of this state; who is at `known` is looked for."""
        self.named = {}
        self.cluster = cluster
        self.raise_term(term)
        self.rep.accept((0, gen), full=full)
        self.keep((0, gen), (0, 0), None, full)
        for addr in known:
            self.remember(addr)
        self.alarm('find', seam.ZERO)

    def alarm_find(self):
        super().alarm_find()
        if self.mode == 'leader' and self.rep.get('meta', 'retired'):
            # Why told unasked: who holds on to the old cluster would refuse our probes without a word.
            for addr in self.find_targets():
                self.tell(addr, 'retired', of=self.rep.get('meta', 'retired'))
        limit = self.now - self.bounds.remember
        for node in [n for n, (at, _) in self.views.items() if at < limit]:
            del self.views[node]
        if self.mode != 'candidate' or self.stopping or self.unfit:
            return
        if self.empty():
            self.try_boot()
        elif self.rep.accepted == (0, 1):
            self.push_boot()
        if self.rep.accepted > (0, 0):
            self.plan_election()

    def try_boot(self):
        view = self.boot_view()
        limit = self.now - self.bounds.probe * 3
        docs = {n: d for n, (at, d) in self.views.items() if at >= limit}
        # Why all three: seeds stand in for the list of initial nodes that nobody gives us.
        good = (
            self.seeds_ok()
            and not any(d['cluster'] for d in docs.values())
            and all(n in docs and docs[n]['view'] == view and docs[n]['seeds_ok'] for n in view if n != self.node)
        )
        self.boot_rounds = self.boot_rounds + 1 if good and view == self.boot_seen else 0
        self.boot_seen = view
        self.say_waiting(good)
        if self.boot_rounds >= 4 and view[0] == self.node:
            cluster = uuid.UUID(int=self.rng.getrandbits(128), version=4).hex
            self.log(f'Forms cluster {cluster} of {len(view)}.', 'form', cluster=cluster, nodes=view)
            self.take_boot(cluster, view)
            self.push_boot()

    def say_waiting(self, good):
        """Why nothing forms yet, now and then: whoever starts the machines has to know."""
        if good or self.finds % 25:
            return
        up, named, silent = self.seeds_heard()
        if not self.seeds_ok():
            self.log(
                f'Waits to form: {up} of {named} seeds named by all we hear answer, two thirds must;'
                f' silent: {", ".join(silent[:10])}.'
            )
        else:
            self.log(f'Waits to form: not all of the {len(self.boot_view())} control nodes heard of agree on the set.')

    def take_boot(self, cluster, view):
        self.cluster = cluster
        self.named = {}
        vc = {'committed': view, 'accepted': view}
        full = {'meta': {'cluster': cluster, 'vc': vc, 'boot': view, 'routes': [0, 1]}}
        self.rep.accept((0, 1), full=full)
        self.write('term', {'term': self.term, 'vote': self.vote})
        self.keep((0, 1), (0, 0), None, full)
        self.boots = {self.node}

    def push_boot(self):
        """Ask the set to take the first generation, until a majority has."""
        view = self.rep.latest('meta', 'boot')
        known = self.fresh_known()
        self.pushes += 1
        for node in view:
            if node in known and node not in (self.boots or ()):
                # Why resumed in time: a set member lost for good must not stop the rest for ever.
                self.tell(known[node], 'boot', view=view, resumed=self.pushes > 10)

    def m_boot(self, env):
        view = env['view']
        if self.empty() and self.node in view and not self.stopping:
            # Why our own eyes: the set must be what we see, not only what somebody says.
            if self.boot_view() == view or self.boot_seen == view or env['resumed']:
                self.take_boot(env['c'], view)
        self.tell(env['a'], 'boot_re', ok=self.cluster == env['c'] and self.rep.accepted >= (0, 1))

    def m_boot_re(self, env):
        if env['ok'] and self.rep.accepted == (0, 1):
            self.boots = (self.boots or {self.node}) | {env['f']}

    # -- elections --------------------------------------------------------

    def vc(self):
        return self.rep.latest('meta', 'vc')

    def plan_election(self):
        if 'elect' in self.alarms:
            return
        if replica.quorum_both(set(self.fresh_known()) | {self.node}, self.vc()):
            # Why random and growing with tries: two candidates must not keep splitting the votes.
            most = min(self.bounds.elect * (1 + self.tries), self.bounds.elect_most)
            # Why in turn at first: all lose a master at the same moment, and who is next should be alone.
            turn = self.bounds.elect * (0.5 * self.turn()) if self.tries == 0 else seam.ZERO
            self.alarm(
                'elect', self.bounds.elect / 6 + turn + most * self.rng.random() * (0.2 if self.tries == 0 else 1)
            )

    def turn(self):
        """Our place among the voters that answer, in an order that differs from term to term."""
        vc = self.vc()
        here = [n for n in self.fresh_known() if n in vc['accepted'] or n in vc['committed']]
        mine = self.turn_of(self.node)
        return sum(1 for n in here if self.turn_of(n) < mine) if self.node in vc['accepted'] else len(here)

    def turn_of(self, node):
        return zlib.crc32(f'{self.term}/{node}'.encode())

    def alarm_elect(self):
        if self.mode != 'candidate' or self.unfit or self.stopping or self.rep.accepted == (0, 0):
            return
        if self.rep.accepted == (0, 1) and not replica.quorum(self.boots or (), self.rep.latest('meta', 'boot')):
            return
        if self.just_voted():
            self.plan_election()
            return
        self.tries += 1
        self.prevotes = {self.node: self.term}
        self.counts['prevotes'] += 1
        for node, addr in sorted(self.fresh_known().items()):
            self.tell(addr, 'prevote', term=self.term, accepted=self.rep.accepted)
        self.count_prevotes()
        self.plan_election()

    def just_voted(self):
        return self.voted_at is not None and self.now - self.voted_at < self.bounds.elect

    def m_prevote(self, env):
        # Why: while somebody leads, a returning node must not unseat them.
        # Why also just after a vote: whom we voted for may lead already and not have reached us yet.
        active = (
            self.mode == 'leader' or (self.mode == 'follower' and self.master['id'] != env['f']) or self.just_voted()
        )
        if active or self.rep.accepted == (0, 0):
            return
        self.tell(env['a'], 'prevote_re', term=self.term, accepted=self.rep.accepted)

    def m_prevote_re(self, env):
        if self.prevotes is None or self.mode != 'candidate':
            return
        if tup(env['accepted']) > self.rep.accepted:
            return
        self.prevotes[env['f']] = env['term']
        self.count_prevotes()

    def count_prevotes(self):
        if self.prevotes and replica.quorum_both(self.prevotes, self.vc()):
            seen = max(self.prevotes.values())
            self.prevotes = None
            self.start_election(seen)

    def start_election(self, seen):
        term = max(self.term, seen) + 1
        self.counts['elections'] += 1
        self.log(
            f'Stands for term {term}.', 'stand', term=term, why=self.lost_why or 'no master known', tries=self.tries
        )
        self.raise_term(term, self.node)
        self.votes = {self.node: None}
        for node, addr in sorted(self.fresh_known().items()):
            self.tell(addr, 'sjoin', term=term)
        self.count_votes()

    def m_sjoin(self, env):
        if env['term'] <= self.term or self.rep.accepted == (0, 0):
            return
        if self.mode == 'leader':
            self.step_down('newer term')
        elif self.mode == 'follower':
            self.lose_master('newer term')
        # Why durable first: forgetting this vote would let us vote twice.
        self.raise_term(env['term'], env['f'])
        self.prevotes = None
        self.voted_at = self.now
        self.alarms.pop('elect', None)
        self.log(f'Votes for {env["f"]} in term {self.term}.', 'vote', term=self.term, node=env['f'])
        self.tell(env['a'], 'vote', term=self.term, accepted=self.rep.accepted, member=self.member())

    def m_vote(self, env):
        if self.votes is None or env['term'] != self.term or self.mode != 'candidate':
            if self.mode == 'leader' and env['term'] == self.term:
                self.m_join(env)
            return
        # Why: whoever holds something newer may hold something committed.
        if tup(env['accepted']) > self.rep.accepted:
            return
        self.votes[env['f']] = env['member']
        self.joined_at[env['f']] = tup(env['accepted'])
        self.count_votes()

    def count_votes(self):
        if self.votes is not None and replica.quorum_both(self.votes, self.vc()):
            joins, self.votes = self.votes, None
            self.become_master(joins)

    def become_master(self, joins):
        self.log(f'Leads term {self.term}.', 'lead', term=self.term, votes=sorted(joins))
        self.mode = 'leader'
        self.master = {'id': self.node, 'addr': self.place.addr, 'http': self.place.http}
        self.tries = 0
        for a in ('lead', 'elect'):
            self.alarms.pop(a, None)
        self.peers = {}
        self.tasks = []
        self.flights.clear()
        self.pumped_at = None
        self.settling = False
        self.fences = []
        self.changes.clear()
        self.commits.clear()
        self.offers = {}
        self.faulty = {}
        self.vc_gone = {}
        self.rounds = {}
        self.quorum_at = self.now
        self.quorum_round = self.round
        for node, row in self.rep.whole().get('members', {}).items():
            if node != self.node:
                self.peers[node] = Peer(node, row, self.now)
        joins[self.node] = self.member()

        def first(txn):
            for node, row in joins.items():
                add_member(txn, node, row)
            # Why a row of every term: the first generation must differ from what it builds on.
            txn.put('meta', 'term', self.term)
            return {'status': 200}

        self.submit(first, lambda res: res['status'] == 200 and self.mastered())
        self.alarm('chk', seam.ZERO)

    def mastered(self):
        """The first generation of our term is in force: what waited for a master is served."""
        # Why at once: many have no lease yet, and what they answer from here on makes one.
        self.alarm('chk', seam.ZERO)
        asks, self.asks = self.asks, {}
        for a in asks.values():
            self.serve(a.op, a.args, lambda res, a=a: a.told(res, 0))

    def unmastered(self):
        """For the role."""

    def step_down(self, why):
        self.lost_why = why
        self.log(f'Steps down from term {self.term}: {why}.', 'down', term=self.term, why=why)
        for p in self.peers.values():
            # Why told: else each finds out only by our silence.
            self.tell(p.addr, 'down', term=self.term)
        self.mode = 'candidate'
        self.master = None
        self.alone_since = self.now
        for a in ('chk', 'pub', 'pump', 'succ', 'fence', 'grants'):
            self.alarms.pop(a, None)
        flights, self.flights = self.flights, collections.deque()
        tasks, self.tasks = self.tasks, []
        fences, self.fences = self.fences, []
        for f in flights:
            for cb, _, lost in f['results']:
                cb(lost)
        for _, cb in tasks:
            cb(NO_MASTER)
        for *_, cb in fences:
            cb(False)
        self.peers = {}
        self.unmastered()
        self.alarm('find', seam.ZERO)
        if self.stopping:
            self.alarm('exit', seam.ms(300))

    def followed(self):
        super().followed()
        self.tries = 0
        self.votes = self.prevotes = None
        self.alarms.pop('elect', None)
        if self.stopping:
            self.tell(self.master['addr'], 'leave')

    # -- the master's single line -----------------------------------------

    def submit(self, fn, cb):
        """Have fn(txn) run in the line of generations; cb(result) once it is in force."""
        if self.mode != 'leader':
            cb(NO_MASTER)
        elif len(self.tasks) >= self.bounds.queue_most * 4:
            cb({'status': 503, 'fault': 'busy', 'retry_ms': 200})
        else:
            self.tasks.append((fn, cb))
            self.pump()

    def pump(self):
        """Compute the next generation from all that waits, as soon as one may follow the last."""
        if self.mode != 'leader' or not self.tasks or self.settling or len(self.flights) >= FLIGHTS_MOST:
            return
        # Why alone: what a master keeps beside the state, as of locks and beats, begins with its first generation.
        if self.flights and self.rep.committed[0] != self.term:
            return
        # Why nothing follows a change of the voting set: each set's quorums must know of the one before.
        if any(f['vc_row'] for f in self.flights):
            return
        # Why apart: what comes at about the same time shares a publication.
        if self.pumped_at is not None and self.now < self.pumped_at + self.bounds.gather:
            self.alarms.setdefault('pump', self.pumped_at + self.bounds.gather)
            return
        self.alarms.pop('pump', None)
        self.pumped_at = self.now
        self.publish()

    def alarm_pump(self):
        self.pump()

    def publish(self):
        tasks, self.tasks = self.tasks, []
        at = (self.term, self.rep.accepted[1] + 1)
        txn = Txn(self.rep, at, self.now)
        results = [(cb, txn.run(fn), LOST) for fn, cb in tasks]
        rows = txn.rows()
        if not rows:
            self.unchanged([(cb, res, UNSURE) for cb, res, _ in results])
            return
        routes = replica.routes_of(rows)
        if routes:
            rows.append(['meta', 'routes', list(at)])
        base, base_routes = self.rep.accepted, tup(self.rep.latest('meta', 'routes'))
        self.rep.accept(at, rows=rows)
        self.flights.append(
            {
                'at': at,
                'rows': rows,
                'routes': bool(routes),
                'results': results,
                'vc': self.vc(),
                'answered': {self.node},
                'since': self.now,
                'vc_row': any(r[:2] == ['meta', 'vc'] for r in rows),
            }
        )
        self.changes.append((base, base_routes, at, rows, bool(routes)))
        self.counts['generations'] += 1
        # Why before the commit: a newcomer's answer may be the one that makes the quorum.
        for table, node, row in rows:
            if table == 'members' and row:
                self.add_peer(node, row)
        for p in self.peers.values():
            if p.role == 'core' or (routes and not self.busy(p)):
                self.offer(p)
        # Why after the sends: theirs and ours may be written at the same time; ours counts when done.
        self.keep(at, base, rows, None)
        if len(self.flights) == 1:
            self.alarm('pub', self.bounds.publish)
        self.check_commit()

    def busy(self, p):
        """Whether a member that is no voter has not yet answered for the last it was sent."""
        # Why waited for, a while: what changes meanwhile goes to it in one piece, and none holds up the others.
        return p.sent is not None and p.sent != p.accepted and self.now - p.offered < self.bounds.ack

    def unchanged(self, results):
        """Outcomes that change nothing are reads: told once we were master after they came, and all they saw is
        committed."""
        seen = self.rep.accepted

        def said(ok):
            for f in self.flights if ok else ():
                if f['at'] == seen:
                    f['results'].extend(results)
                    return
            for cb, res, lost in results:
                cb(res if ok else lost)

        self.fence(said)

    def read(self, fn, cb):
        """cb(fn(view)) of what is in force once we are known to be master after now."""

        def look(ok):
            if ok and self.mode == 'leader':
                cb(View(self.rep, self.rep.committed, self.now).run(fn))
            else:
                cb(NO_MASTER)

        if self.mode == 'leader' and self.rep.committed[0] != self.term:
            # Why wait: until our first generation is in force, what was acknowledged before us may not be.
            self.submit(lambda txn: {'status': 200}, lambda res: self.read(fn, cb) if res['status'] == 200 else cb(res))
        elif self.mode == 'leader':
            self.fence(look)
        else:
            cb(NO_MASTER)

    def latest_for(self, p):
        if p.role == 'core':
            return self.rep.accepted
        return tup(self.rep.latest('meta', 'routes'))

    def since(self, base, core):
        """(rows, generations between) from `base` to the latest, or None if that is too far back."""
        parts, via = [], []
        for b, b_routes, at, rows, is_routes in reversed(self.changes):
            if core or is_routes:
                parts.append(rows if core else replica.routes_of(rows))
                via.append(at)
                if base == (b if core else b_routes):
                    return [r for part in reversed(parts) for r in part], via[1:]
        return None

    def offer(self, p):
        """Send a member what it lacks: the changes since what it has, or everything."""
        at = self.latest_for(p)
        core = p.role == 'core'
        base = p.sent or p.accepted
        # Why with it: a voter learns what is committed without a frame of its own.
        com = self.rep.committed if core and self.rep.committed[0] == self.term else None
        p.offered, p.sent, p.told = self.now, at, com or p.told
        # Why shared: most members lack the same, and it is written once for all of them.
        key = (self.rep.accepted, at, core, base, com)
        if key not in self.offers:
            self.offers = {k: msg for k, msg in self.offers.items() if k[0] == self.rep.accepted}
            self.offers[key] = self.publication(at, core, base, com)
        msg = self.offers[key]
        if 'full' in msg:
            self.counts['full'] += 1
        self.send(p.addr, msg, p.level >= 2)

    def publication(self, at, core, base, com):
        found = self.since(base, core) if base else None
        more = {'com': com} if com else {}
        if not found:
            return self.frame(
                'pub', term=self.term, at=at, full=self.rep.whole(routes=not core), http=self.place.http, **more
            )
        if found[1]:
            # Why what lies between is told: it may have taken that meanwhile, and rows are whole values.
            more['via'] = found[1]
        return self.frame('pub', term=self.term, at=at, base=base, rows=found[0], http=self.place.http, **more)

    def m_pub_re(self, env):
        if env['term'] > self.term:
            self.deposed(env['term'])
            return
        p = self.peers.get(env['f'])
        if self.mode != 'leader' or p is None or env['term'] < self.term:
            return
        p.accepted = max(p.accepted or (0, 0), tup(env['accepted'])) if env['ok'] else tup(env['accepted'])
        if not env['ok'] and tup(env['at']) == p.sent:
            # Why only for the last: each of those on their way before it was refused, too.
            p.sent, p.told = None, (0, 0)
        self.answered(p)
        if self.mode != 'leader' or p.node not in self.peers:
            return
        # Why voters only where it is unknown what they get: all is on its way to them.
        if p.accepted != self.latest_for(p) and (p.sent is None or (p.role != 'core' and p.sent == p.accepted)):
            self.offer(p)
        self.tell_commit(p)

    def answered(self, p):
        """It has all up to what it says it accepted: one master a term makes one line of generations."""
        if p.accepted[0] == self.term:
            news = False
            for f in self.flights:
                if f['at'] > p.accepted:
                    break
                if p.node not in f['answered']:
                    f['answered'].add(p.node)
                    news = True
            if news:
                self.check_commit()

    def tell_commit(self, p):
        """Tell a member what is committed of what it has."""
        if p.accepted is None:
            return
        if p.accepted[0] == self.term:
            at = min(p.accepted, self.rep.committed)
        else:
            # Why only that: of an older term it may hold what never was committed.
            at = p.accepted if p.accepted == self.latest_for(p) else (0, 0)
        if at > p.told and at <= self.rep.committed and (p.role == 'core' or at == p.accepted):
            p.told = at
            self.tell(p.addr, 'com', term=self.term, at=at, http=self.place.http)

    def check_commit(self):
        done = []
        while self.flights and replica.quorum_both(self.flights[0]['answered'], self.flights[0]['vc']):
            done.append(self.flights.popleft())
        if not done:
            return
        if self.flights:
            self.alarms['pub'] = self.flights[0]['since'] + self.bounds.publish
        else:
            self.alarms.pop('pub', None)
        for f in done:
            self.commits.append((f['at'], self.now, f['routes']))
        self.took(self.rep.commit(done[-1]['at']))
        for f in done:
            for cb, res, _ in f['results']:
                cb(res)
        if self.mode == 'leader':
            self.pass_fences(lambda need, after: after < done[-1]['at'])
        if self.mode != 'leader':
            return
        if any(r[0] == 'members' for f in done for r in f['rows']):
            self.sync_peers()
        if self.settling or any(f['routes'] for f in done):
            self.reconfigure()
        # Why first: what is published now tells of the commit, too.
        self.pump()
        for p in list(self.peers.values()):
            self.tell_commit(p)

    def m_com_re(self, env):
        p = self.peers.get(env['f'])
        if self.mode == 'leader' and p is not None and env['term'] == self.term:
            p.committed = max(p.committed, tup(env['at']))
            if p.granted is None:
                # Why now: the round that its lease rests on may have been answered while it took this.
                self.grant(p)

    def alarm_pub(self):
        if self.mode == 'leader' and self.flights:
            self.step_down('no quorum for a generation')

    def deposed(self, term):
        if self.mode == 'leader':
            self.step_down('newer term')

    # -- checks, leases, fences -------------------------------------------

    def alarm_chk(self):
        self.start_round(True)
        self.alarm('chk', self.bounds.check)
        if self.now - self.quorum_at > self.bounds.check * self.bounds.misses:
            self.step_down('no quorum answers')
            return
        for p in [p for p in self.peers.values() if p.ack_at < self.now - self.pace(p) * self.bounds.misses]:
            self.fault_member(p, 'silent')
        self.tick_master()

    def alarm_grants(self):
        if self.mode == 'leader':
            self.start_round(False, grants=True)

    def tick_master(self):
        """For the role, once a check round."""

    def pace(self, p):
        """How far apart a member's checks are: voters keep the fastest, many that only follow go slower."""
        if p.role == 'core' or p.level < 2:
            return self.bounds.check
        # Why a fourth of the lease at most: two checks go by before a lease is made anew, and one may be missed.
        return min(
            max(self.bounds.check, self.bounds.check * (len(self.peers) / self.bounds.herd)),
            max(self.bounds.check, self.bounds.lease / 4),
        )

    def check_member(self, p):
        p.checked = self.now
        # Why told: it may be silent for no longer before the member looks for another master.
        more = {'pace_ms': seam.to_ms(self.pace(p))} if p.role != 'core' else {}
        if self.folds(p) and p.good and self.had_all(p, p.good_at):
            more['ack'] = p.good
            p.granted = self.now
        self.tell(p.addr, 'chk', term=self.term, to=p.node, round=self.round, http=self.place.http, **more)

    def folds(self, p):
        """Whether its grants go with its checks, a frame less a round."""
        # Why only at a slower pace: at the fastest, what the last check proved is not known at the next.
        # Why not after a gap: it may have no lease yet, or soon none.
        pace = self.pace(p)
        return pace > self.bounds.check and p.granted is not None and self.now - p.granted < pace * 1.5

    def start_round(self, everyone, grants=False):
        """Ask the voters whether they follow us still, and with `everyone` all members whose check is due.

        Leases rest on rounds with `everyone` or `grants`.
        """
        self.round += 1
        grants = grants or everyone
        # Why who was heard is noted now: a lease may only rest on answers from before the round began.
        heard = {n: (p.acked, p.acked_at) for n, p in self.peers.items()} if grants else {}
        self.rounds[self.round] = {
            'start': self.now,
            'answered': {self.node},
            'grants': grants,
            'heard': heard,
            'granted': None,
        }
        # Why by age: many reads begin many rounds, and each must have its time.
        old = self.now - self.bounds.check * (self.bounds.misses + 1)
        for q in [q for q, r in self.rounds.items() if r['start'] < old]:
            del self.rounds[q]
        vc = self.vc()
        for p in self.peers.values():
            # Why nearly: rounds come a little late, and must not be missed for that.
            if (
                p.node in vc['accepted']
                or p.node in vc['committed']
                or everyone
                and (p.role == 'core' or self.now - p.checked >= self.pace(p) - self.bounds.check / 4)
            ):
                self.check_member(p)
        self.round_answered(self.round)

    def m_chk_re(self, env):
        if env.get('no'):
            if env['term'] > self.term:
                self.deposed(env['term'])
            return
        p = self.peers.get(env['f'])
        if self.mode != 'leader' or p is None or env['term'] != self.term:
            return
        p.ack_at = self.now
        if env['round'] > p.acked:
            if not p.acked and 'grants' not in self.alarms:
                # Why a round soon: it has no lease yet and serves nobody.
                self.alarm('grants', self.bounds.gather)
            p.acked, p.acked_at = env['round'], self.now
        p.accepted = max(p.accepted or (0, 0), tup(env['accepted']))
        # Why not the larger for a voter: one that was started again no longer knows what it was told.
        p.committed = tup(env['committed']) if p.role == 'core' else max(p.committed, tup(env['committed']))
        self.answered(p)
        self.catch_up(p)
        r = self.rounds.get(env['round'])
        if r and p.node not in r['answered']:
            r['answered'].add(p.node)
            if p.role == 'core':
                self.round_answered(env['round'])
            if r['granted'] is not None:
                self.grant(p, r)

    def catch_up(self, p):
        # Why a pause: what it lacks may be on its way to it.
        if self.now - p.offered < self.bounds.check / 2:
            return
        if p.accepted != self.latest_for(p):
            p.sent, p.told = None, (0, 0)
            self.offer(p)
        elif p.committed < self.known_to(p):
            p.told = (0, 0)
            self.tell_commit(p)

    def known_to(self, p):
        """What a member should know by now to be committed."""
        return self.rep.committed if p.role == 'core' else tup(self.rep.get('meta', 'routes'))

    def round_answered(self, q):
        r = self.rounds[q]
        if q <= self.quorum_round or not replica.quorum_both(r['answered'], self.vc()):
            return
        self.quorum_round = q
        self.quorum_at = max(self.quorum_at, r['start'])
        # Why none before our first generation: what we lead from may be behind.
        if self.rep.committed[0] == self.term:
            r['granted'] = set() if r['grants'] else None
            for p in self.peers.values():
                ack, at = r['heard'].get(p.node, (0, None))
                if ack > p.good:
                    p.good, p.good_at = ack, at
                if r['grants']:
                    self.grant(p, r)
        self.pass_fences(lambda need, after: need <= q)

    def pass_fences(self, passed):
        ready = [cb for need, after, cb in self.fences if passed(need, after)]
        self.fences = [f for f in self.fences if not passed(f[0], f[1])]
        for cb in ready:
            cb(True)

    def grant(self, p, r=None):
        """A lease for who answered before a round began that a quorum answered, and lacked nothing yet when it did."""
        if p.good and not (r and p.node in r['granted']) and not self.folds(p) and self.had_all(p, p.good_at):
            if r:
                r['granted'].add(p.node)
            p.granted = self.now
            self.tell(p.addr, 'grant', term=self.term, ack=p.good)

    def had_all(self, p, when):
        """Whether nothing that a member lacks now was committed before `when`."""
        # Why by time: a generation is always on its way, and who lacks it must stop a lease after its commit.
        if p.committed[0] != self.term:
            return False
        for at, since, routes in reversed(self.commits):
            if at <= p.committed:
                break
            if since < when and (routes or p.role == 'core'):
                return False
        return True

    def fence(self, cb):
        """cb(True) once a quorum has answered a round begun, or a generation published, after now; cb(False) if
        deposed."""
        self.fences.append((self.round + 1, self.rep.accepted, cb))
        if 'fence' not in self.alarms:
            # Why a short pause: many reads share one round.
            self.alarm('fence', self.bounds.gather)

    def alarm_fence(self):
        newest = self.flights[-1]['at'] if self.flights else (0, 0)
        # Why not for those before a publication: its quorum says as much as a round's.
        if self.mode == 'leader' and any(need > self.round and after >= newest for need, after, _ in self.fences):
            self.start_round(False)

    # -- membership -------------------------------------------------------

    def sync_peers(self):
        rows = self.rep.get('members')
        # Why those on their way too: a newcomer of the generation behind this one is offered it already.
        coming = {n for n, row in self.rep.whole_of('members').items() if row}
        for node in [n for n in self.peers if n not in rows and n not in coming]:
            del self.peers[node]
        for node, row in rows.items():
            p = self.add_peer(node, row)
            if p:
                if p.accepted != self.latest_for(p):
                    self.offer(p)
                self.tell_commit(p)
                self.check_member(p)

    def add_peer(self, node, row):
        if node == self.node or node in self.peers:
            return None
        p = self.peers[node] = Peer(node, row, self.now)
        self.log(f'Member {node} ({p.role} {p.addr}) is here.', 'here', node=node, role=p.role, addr=p.addr)
        # Why: who comes back needs only what it missed.
        p.accepted = self.joined_at.pop(node, None)
        return p

    def m_join(self, env):
        if self.mode != 'leader':
            return
        if env['term'] > self.term:
            # Why: it can follow no term below its own, so we need a newer one to have it.
            self.deposed(env['term'])
            return
        p = self.peers.get(env['f'])
        self.joined_at[env['f']] = tup(env['accepted'])
        if p is not None:
            p.ack_at = self.now
            if (
                p.sent is not None
                and tup(env['accepted']) == (p.accepted or (0, 0))
                and self.now - p.offered < self.bounds.check / 2
            ):
                # Why let be: it asks whoever names a master, so the same question comes some times; its answer is out.
                return
            p.accepted, p.sent, p.told = tup(env['accepted']), None, (0, 0)
            self.catch_up(p)
            return
        node, row = env['f'], env['member']
        self.submit(lambda txn: add_member(txn, node, row), lambda res: None)

    def m_leave(self, env):
        p = self.peers.get(env['f'])
        if self.mode == 'leader' and p:
            self.fault_member(p, 'left')

    def on_lost(self, addr):
        super().on_lost(addr)
        if self.mode == 'leader':
            for p in [p for p in self.peers.values() if p.addr == addr]:
                self.fault_member(p, 'disconnected')

    def fault_member(self, p, why):
        node = p.node
        if self.faulty.get(node, seam.ZERO) > self.now - seam.ms(1000) and node in self.faulty:
            return
        self.faulty[node] = self.now
        self.log(
            f'Member {node} ({p.role} {p.addr}) is gone: {why}.', 'gone', node=node, role=p.role, addr=p.addr, why=why
        )

        def drop(txn):
            txn.drop('members', node)
            self.member_gone(txn, node)
            return {'status': 200}

        self.submit(drop, lambda res: self.faulty.pop(node, None))

    def member_gone(self, txn, node):
        """For the role: what else follows from a member's loss."""

    # -- the voting set ---------------------------------------------------

    def reconfigure(self):
        """One step towards a voting set that survives the most."""
        vc = self.rep.get('meta', 'vc')
        self.settling, was = False, self.settling
        if self.mode != 'leader' or not vc or self.rep.committed[0] != self.term:
            return
        if vc['committed'] != vc['accepted']:
            done = {'committed': vc['accepted'], 'accepted': vc['accepted']}
        else:
            want = self.want_voters(vc['accepted'])
            if want == vc['accepted']:
                if was:
                    self.pump()
                return
            done = {'committed': vc['accepted'], 'accepted': want}
        if self.flights:
            # Why first: a set may only follow generations that the set before it has committed.
            self.settling = True
            return

        def change(txn):
            if txn.get('meta', 'vc') == vc:
                txn.put('meta', 'vc', done)
            return {'status': 200}

        self.log(f'Voting set becomes {done["accepted"]}.', 'voters', term=self.term, voters=done['accepted'])
        self.submit(change, lambda res: None)

    def nearly(self, p):
        # Why not equal: under load the newest generations are always still on their way.
        return (
            p.accepted is not None
            and p.accepted[0] == self.term
            and self.rep.accepted[1] - p.accepted[1] <= 2 * FLIGHTS_MOST
        )

    def want_voters(self, now_set):
        members = self.rep.get('members')
        cells = self.rep.get('cells')
        ready = [self.node]
        for n, p in self.peers.items():
            # Why caught up first: a voter with nothing would weaken every quorum it is in.
            if p.role == 'core' and (n in now_set or self.nearly(p)):
                ready.append(n)
        for n in now_set:
            if n in ready:
                self.vc_gone.pop(n, None)
            else:
                self.vc_gone.setdefault(n, self.now)
        # Why a grace: a restart should not cost two generations.
        lately = [n for n in now_set if n in self.vc_gone and self.now - self.vc_gone[n] < seam.ms(2000)]
        ready += lately
        size = min(5, len(ready) - 1 + len(ready) % 2)
        if size < 3:
            # Why never below three by itself: a lone survivor must not decide alone.
            return now_set if len(now_set) >= 3 or len(ready) <= len(now_set) else sorted(ready)
        pick = []
        while len(pick) < size:

            def cost(n):
                row = members.get(n) or {'cell': ''}
                region = partner.place_of(cells, row['cell'])
                same_r = sum(
                    1 for m in pick if partner.place_of(cells, (members.get(m) or {'cell': ''})['cell']) == region
                )
                same_c = sum(1 for m in pick if (members.get(m) or {'cell': ''})['cell'] == row['cell'])
                return same_r, same_c, n not in now_set, n

            pick.append(min((n for n in ready if n not in pick), key=cost))
        want = sorted(pick)
        # Why one at a time: each step keeps quorums that overlap in more than one node.
        add = [n for n in want if n not in now_set][:1]
        rid = [n for n in now_set if n not in want]
        if len(want) <= len(now_set):
            rid = rid[: 1 if add else 2]
        elif not rid:
            add = [n for n in want if n not in now_set][:2]
        else:
            rid = rid[:1]
        return sorted((set(now_set) | set(add)) - set(rid))

    # -- leaving ----------------------------------------------------------

    def leave_wait(self):
        return seam.ms(1500)

    def on_stop(self):
        if self.mode == 'leader' and not self.stopping:
            self.stopping = True
            self.name_successor()
            self.alarm('exit', self.leave_wait())
            return
        super().on_stop()
        if not self.master or self.mode == 'candidate':
            self.alarm('exit', seam.ms(100))
        else:
            self.alarm('exit', seam.ms(300))

    def name_successor(self):
        vc = self.vc()
        able = [p for n, p in sorted(self.peers.items()) if n in vc['accepted'] and p.accepted]
        if able:
            # Why the furthest, then who answered last: it wins at once and is the surest to be there.
            p = max(able, key=lambda p: (p.accepted, p.ack_at))
            self.log(f'Names {p.node} successor.', 'successor', term=self.term, node=p.node)
            self.tell(p.addr, 'succeed', term=self.term)
        self.alarm('succ', seam.ms(150))

    def alarm_succ(self):
        if self.mode == 'leader':
            self.name_successor()

    def m_succeed(self, env):
        # Why without a pre-vote: the master itself says that it goes.
        if env['term'] == self.term and self.mode == 'follower' and not self.unfit and not self.stopping:
            for node, row in self.rep.get('members').items():
                if row['role'] == 'core':
                    self.remember(row['addr'], node, 'core', seen=True)
            self.remember(env['a'], env['f'], 'core', seen=True)
            self.lose_master('hands over')
            self.start_election(self.term)

    # -- asks -------------------------------------------------------------

    def ask(self, op, args, cb, wait=None):
        if self.mode == 'leader':
            self.serve(op, args, cb)
        else:
            super().ask(op, args, cb, wait)

    def m_ask(self, env):
        addr, key = env['a'], env['key']
        if self.mode != 'leader' or self.stopping:
            self.tell(addr, 'ask_re', key=key, result=NO_MASTER)
            return
        if key in self.asked:
            # Why left alone: it is put again while it is being done, and a watch is being done for long.
            return
        if key in self.told:
            self.tell(addr, 'ask_re', key=key, result=self.told[key][1])
            return
        self.asked.add(key)

        def done(res):
            self.asked.discard(key)
            # Why kept: a copy still on its way must not act a second time.
            if self.acts(env['op']) and res['status'] not in partner.REFUSALS:
                self.told[key] = (self.now, res)
                while self.told and (len(self.told) > TOLD_MOST or next(iter(self.told.values()))[0] < self.now - TOLD):
                    self.told.popitem(last=False)
            self.tell(addr, 'ask_re', key=key, result=res)

        self.serve(env['op'], env['args'], done)

    def acts(self, op):
        """For the role: whether doing it twice differs from doing it once."""
        return True

    def serve(self, op, args, cb):
        """For the role: the operations a master does for the others."""
        cb({'status': 404, 'fault': f'no operation {op}'})

    def measures(self):
        yield from super().measures()
        for name, text in (
            ('elections', 'Elections it stood in.'),
            ('prevotes', 'Tries before an election.'),
            ('generations', 'Generations it made as master.'),
            ('full', 'Whole states sent, not changes.'),
            ('probes', 'Probes of endpoints it gave out.'),
        ):
            yield measures.counter(name, text, self.counts[name])
        yield measures.gauge('queue', 'Changes that wait for the next generation.', len(self.tasks))
        yield measures.gauge('unfit', 'Whether its disk can not be written.', int(self.unfit))
        yield measures.gauge(
            'voter', 'Whether it is in the voting set.', int(self.node in (self.vc() or {}).get('accepted', ()))
        )
        if self.mode == 'leader':
            yield measures.by(
                measures.GAUGE,
                'members',
                'Members, by the word of the master.',
                'role',
                collections.Counter(r['role'] for r in self.rep.get('members').values()),
            )

    def status(self):
        s = super().status()
        if self.empty():
            up, named, silent = self.seeds_heard()
            s['waits_to_form'] = {
                'seeds_named': named,
                'answer': up,
                'silent': silent,
                'control_nodes': self.boot_view(),
            }
        if self.given_up:
            s['given_up_for'] = self.given_up
        s.update(
            unfit=self.unfit,
            voters=self.vc(),
            counts=dict(self.counts),
            queue=len(self.tasks),
            members={
                n: {
                    **row,
                    'ack_ms': partner.age(self.now, self.peers[n].ack_at) if n in self.peers else 0,
                    'generation': list(self.peers[n].committed) if n in self.peers else list(self.rep.committed),
                    'leased': n == self.node
                    or (
                        n in self.peers
                        and self.had_all(self.peers[n], self.peers[n].acked_at)
                        and self.now - self.peers[n].ack_at < self.bounds.lease
                    ),
                }
                for n, row in self.rep.get('members').items()
            }
            if self.mode == 'leader'
            else dict(self.rep.get('members')),
        )
        return s


def add_member(txn, node, row):
    # Why by address: whoever answered there before is gone, or this one could not listen.
    for other, old in txn.items('members').items():
        if other != node and old['addr'] == row['addr']:
            txn.drop('members', other)
    txn.put('members', node, row)
    return {'status': 200}
