"""The proxy: a table of records, passes run over them, and what they lean on."""

import base64
import collections
import json

import zinctrail.agree.partner as partner
import zinctrail.ctl.api as api
import zinctrail.ctl.claims as claims
import zinctrail.ctl.policy as policy
import zinctrail.ctl.recovery as recovery
import zinctrail.ctl.routes as routes
import zinctrail.data.open as open_
import zinctrail.data.passes as passes
import zinctrail.data.repeats as repeats
import zinctrail.data.told as told
import zinctrail.req.seal as seal
import zinctrail.seam as seam

# Why: reply headers that are ours or the connection's, never passed through.
OWN = ('connection', 'transfer-encoding', 'content-length', 'date', 'server', 'keep-alive')
# Why: memory for kept outcomes is bounded; a repeat of a forgotten one is told unknown.
KEPT_MOST = 20000
KEPT_BYTES = 64 << 20
# Why bounded: an id forgotten sooner counts as a first again, which costs the bound a little.
MET_MOST = 20000


# Why short: whoever was given up on is to be told, and a master that is there answers in much less.
CLOSE_WAIT = seam.ms(500)
# What an orderly exit takes, at the end of the grace: the leave, the last answers.
LAST = seam.ms(600)


def unsure(e):
    return passes.Drop(504, f'{e}; could not be made sure of', passes.UNKNOWN)


def outside_before():
    return passes.Drop(409, 'claimed or run before, outside these home regions', passes.UNKNOWN)


class Kept:
    """A run-once id as this proxy knows it, and who waits for its outcome."""

    def __init__(self, epoch, nonce=''):
        self.epoch = epoch
        self.nonce = nonce
        self.open = True
        self.outcome = None
        # Where it ran; empty where nothing did, as far as is known.
        self.cell = ''
        self.waiters = []
        self.asked = []


class Pool:
    """The credit this proxy holds in one pool."""

    def __init__(self):
        self.fence = 0
        self.grants = {}
        self.until = seam.ZERO
        self.sent = collections.OrderedDict()
        self.took = 0
        self.use = collections.Counter()
        self.queue = collections.deque()
        self.asked_at = None
        self.met = collections.Counter()
        self.took_ms = 0.0


class Prox(open_.Open, told.Told, partner.Partner):
    role = 'prox'
    prefix = 'prox'

    def __init__(self, place, bounds, rng):
        super().__init__(place, bounds, rng)
        self.routes = routes.Routes(self.rep)
        self.table = {}
        self.kept = collections.OrderedDict()
        self.kept_bytes = 0
        self.pools = {}
        self.windows = {}
        self.fetches = {}
        self.broken = {}
        self.pressure = {}
        self.counts = collections.Counter()
        self.no = 0
        self.incs = set()
        self.left = False
        self.asks_kept = {}
        self.held = []
        # Ids of traffic that needs no claims, by when they first came: {id: (record, when)}.
        self.met = collections.OrderedDict()
        self.policies = {}
        # Whether, on leaving, open traffic is no longer taken.
        self.parted = False
        self.open_init()
        self.told_init()

    def count(self):
        self.no += 1
        return self.no

    # -- requests ---------------------------------------------------------

    def on_http(self, rid, call):
        if call.path in PAGES:
            self.out.append(api.outcome(rid, PAGES[call.path](self)))
            return
        self.begin(passes.Record(rid, call, self.now, passes=passes.PASSES))

    def begin(self, rec):
        self.table[rec.rid] = rec
        self.counts['requests'] += 1
        self.run(rec)

    def run(self, rec):
        rec.parked = ''
        while rec.at < len(rec.passes):
            try:
                if not rec.passes[rec.at](self, rec):
                    return
            except passes.Drop as e:
                self.drop(rec, e)
                return
            rec.at += 1

    def resume(self, rec, at=None):
        """On from the next pass, or from a named one."""
        rec.at = rec.passes.index(at) if at else rec.at + 1
        self.run(rec)

    def drop(self, rec, e):
        if rec.rid not in self.table:
            return
        if rec.maybe and e.outcome == passes.NOT_RUN:
            e = passes.Drop(e.status, str(e), passes.UNKNOWN, **e.more)
        if rec.claimed and e.outcome == passes.NOT_RUN:
            # Why a commit first: the promise must hold against a late copy at any proxy.
            rec.parked, rec.given_up = 'close', e
            # Why bounded: it is given up, so its outcome is told at once, and unknown serves if no master answers.
            rec.until = min(rec.until, self.now + CLOSE_WAIT)
            self.alarm_at('late', rec.until)
            self.ask('close', {'id': rec.id, 'nonce': rec.nonce}, lambda res: self.closed(rec, e, res))
            return
        self.say(rec, e)

    def closed(self, rec, e, res):
        if rec.rid in self.table:
            self.say(rec, e if res['status'] == 200 else unsure(e))
        elif res['status'] == 200 and rec.id in self.kept and self.kept[rec.id].nonce == rec.nonce:
            # Why forgotten: told unknown for want of a master, but it never ran, and the next attempt may.
            self.forget(rec.id)

    def say(self, rec, e):
        if rec.passes is open_.PASSES:
            self.say_open(rec, e)
            return
        outcome = e.outcome
        # Why not "not run" for a repeat that nobody has looked up: an earlier attempt may have run.
        if outcome == passes.NOT_RUN and rec.attempt > 1 and not rec.claimed:
            outcome = passes.UNKNOWN
        body = {'outcome': outcome, 'attempt_outcome': e.outcome, 'fault': str(e), **e.more}
        headers = {
            'zt-outcome': outcome,
            'zt-attempt-outcome': e.outcome,
            'zt-id': rec.id[:100],
            'zt-attempt': str(rec.attempt),
            'content-type': 'application/json',
        }
        if 'retry_ms' in e.more:
            headers['retry-after'] = str(max(1, round(e.more['retry_ms'] / 1000)))
        text = json.dumps(body).encode()
        seal.seal(e.status, headers, text)
        self.counts[outcome] += 1
        self.ended(rec, e.status, outcome, str(e))
        self.done(rec, e.status, headers, text, ran=False)

    def finish(self, rec):
        self.counts[passes.RAN] += 1
        self.ended(rec, rec.res.status, passes.RAN)
        self.done(rec, rec.res.status, self.headers_of(rec.res), rec.res.body, ran=True)

    def headers_of(self, res):
        return {k: v for k, v in res.headers.items() if k not in OWN}

    def done(self, rec, status, headers, body, ran):
        del self.table[rec.rid]
        self.out.append(seam.Outcome(rec.rid, status, headers, body))
        if not rec.nonce:
            return
        kept = self.kept.get(rec.id)
        if kept is None or not kept.open:
            return
        kept.open = False
        unknown = headers['zt-outcome'] == passes.UNKNOWN
        if ran or unknown:
            kept.outcome, kept.cell = (status, headers, body), rec.cell if ran else ''
            self.kept_bytes += len(body)
        else:
            # Why forgotten: its claim is closed, so the next attempt starts anew.
            del self.kept[rec.id]
        for w in kept.waiters:
            if w.rid in self.table:
                self.replay(w, kept) if kept.outcome else self.resume(w, passes.known)
        for key, addr in kept.asked:
            self.tell_kept(addr, key, kept)

    # -- run once ---------------------------------------------------------

    def open_kept(self, rec):
        self.kept[rec.id] = Kept(claims.epoch_of(rec.id), rec.nonce)
        while len(self.kept) > KEPT_MOST or self.kept_bytes > KEPT_BYTES:
            rid, old = next(iter(self.kept.items()))
            if old.open:
                break
            self.forget(rid)

    def forget(self, rid):
        old = self.kept.pop(rid)
        if old.outcome:
            self.kept_bytes -= len(old.outcome[2])

    def claim_told(self, rec, res):
        if rec.rid not in self.table:
            return
        got = res.get('got')
        if got == 'claimed':
            rec.claimed = True
            self.resume(rec)
        elif got == 'taken':
            self.ask_holder(rec, res)
        elif got == 'old':
            self.drop(rec, passes.Drop(409, 'request id of an epoch no longer kept', passes.UNKNOWN))
        elif res['status'] == 400:
            self.drop(rec, passes.Drop(400, res['fault']))
        elif res.get('unknown') is False:
            self.drop(rec, passes.Drop(503, 'no master could be asked for a claim', retry_ms=500))
        else:
            # Why unknown: the claim may yet be committed, so no promise can be made for a late copy.
            self.drop(rec, passes.Drop(504, 'no claim in time', passes.UNKNOWN, retry_ms=500))

    def ask_holder(self, rec, res):
        """Another proxy holds the claim: its outcome is the outcome, nothing runs here."""
        if res['state'] == 'closed':
            self.drop(rec, passes.Drop(503, 'an attempt this late does not run', retry_ms=200))
            return
        members = self.rep.get('members')
        if res['by'] == self.node or res['by'] not in members:
            self.drop(rec, passes.Drop(504, 'ran or not under a proxy that is gone', passes.UNKNOWN))
            return
        if self.outside(rec, members[res['by']]['cell']):
            # Why not asked: what it holds was carried outside these home regions, and must not be carried in.
            self.drop(rec, outside_before())
            return
        key = self.count()
        rec.parked = 'holder'
        self.asks_kept[key] = rec
        self.tell(res['at'], 'kept', key=key, id=rec.id)

    def m_kept(self, env):
        kept = self.kept.get(env['id'])
        if kept is not None and kept.open:
            kept.asked.append((env['key'], env['a']))
        else:
            self.tell_kept(env['a'], env['key'], kept)

    def tell_kept(self, addr, key, kept):
        outcome = None
        if kept is not None and kept.outcome:
            status, headers, body = kept.outcome
            outcome = [status, headers, base64.b64encode(body).decode()]
        self.tell(addr, 'kept_re', key=key, outcome=outcome, cell=kept.cell if outcome else '')

    def m_kept_re(self, env):
        rec = self.asks_kept.pop(env['key'], None)
        if rec is None or rec.rid not in self.table:
            return
        if not env['outcome']:
            self.drop(rec, passes.Drop(504, 'claimed before, and its outcome is not known', passes.UNKNOWN))
            return
        status, headers, body = env['outcome']
        kept = Kept(claims.epoch_of(rec.id))
        kept.outcome, kept.cell = (status, headers, base64.b64decode(body)), env.get('cell', '')
        self.replay(rec, kept)

    def outside(self, rec, cell):
        return bool(rec.home and cell) and self.routes.region(cell) not in rec.home

    def replay(self, rec, kept):
        if self.outside(rec, kept.cell):
            self.drop(rec, outside_before())
            return
        status, headers, body = kept.outcome
        # Why its own attempt number: the caller matches the reply to what it sent.
        headers = seal.seal(status, dict(headers, **{'zt-attempt': str(rec.attempt), 'zt-kept': '1'}), body)
        self.counts['replayed'] += 1
        self.ended(rec, status, 'replayed')
        self.done(rec, status, headers, body, ran=True)

    # -- credit -----------------------------------------------------------

    def pool(self, name):
        return self.pools.setdefault(name, Pool())

    def pick(self, rec):
        """The endpoint for this record: in credit, allowed, near, least used."""
        p = self.pool(rec.pool)
        if p.until <= self.now:
            return None
        good = []
        here, region = self.place.cell, self.routes.region(self.place.cell)
        for inc, n in p.grants.items():
            if p.use[inc] >= n or inc in rec.tried or not self.routes.usable(inc):
                continue
            if self.broken.get(inc, seam.ZERO) > self.now:
                continue
            cell = self.routes.end(inc)['cell']
            there = self.routes.region(cell)
            if rec.home and there not in rec.home:
                continue
            cost = (there != region, cell != here, p.use[inc] / n, self.rng.random())
            good.append((cost, inc))
        if not good:
            return None
        good.sort()
        return self.by_policy(rec, [inc for _, inc in good]) or good[0][1]

    def by_policy(self, rec, incs):
        """What the pool's own policy chooses among these; None without one, or if it fails."""
        source = (self.rep.get('conf', f'pools/{rec.pool}') or {}).get('policy')
        if source is None:
            return None
        kept = self.policies.get(rec.pool)
        try:
            if kept is None or kept.source != source:
                kept = self.policies[rec.pool] = policy.Policy(source)
            p = self.pool(rec.pool)
            ends = [
                {
                    'addr': e['addr'],
                    'cell': e['cell'],
                    'region': self.routes.region(e['cell']),
                    'use': p.use[i],
                    'granted': p.grants[i],
                    'labels': self.routes.labels_of(i),
                }
                for i, e in ((i, self.routes.end(i)) for i in incs)
            ]
            labels = passes.pairs(rec.call.headers.get('zt-labels', ''))
            return incs[
                kept.choose({'id': rec.id, 'service': rec.service, 'attempt': rec.attempt, 'labels': labels}, ends)
            ]
        except policy.PolicyFault as e:
            # Why not dropped: the built-in choice serves as well, and the operator is told.
            self.counts['policy_faults'] += 1
            if self.counts['policy_faults'] % 1000 == 1:
                self.log(f'Policy of pool {rec.pool} failed: {e}. Built-in choice used.')
            return None

    def room(self, name):
        """All that a pool's usable endpoints bear."""
        return sum(self.routes.cap(i, name) for i in self.routes.pool(name) if self.routes.usable(i))

    def may_wait(self, rec, ahead, room):
        """Whether waiting for credit behind so many can end in time, were all of the pool ours."""
        took = self.pool(rec.pool).took_ms
        hopeless = room and took and seam.ms(took * (ahead + 1) / room) + seam.ms(took / 2) > rec.until - self.now
        return self.may_queue(rec) and not hopeless

    def may_queue(self, rec):
        p = self.pool(rec.pool)
        ends = [
            i
            for i in self.routes.pool(rec.pool)
            if self.routes.usable(i)
            and i not in rec.tried
            and (not rec.home or self.routes.region(self.routes.end(i)['cell']) in rec.home)
        ]
        return bool(ends) and len(p.queue) < self.bounds.queue_most // 2

    def queue(self, rec):
        p = self.pool(rec.pool)
        rec.parked = 'credit'
        p.queue.append(rec)
        self.want(rec.pool, seam.ms(20))

    def unqueue(self, name):
        """Give waiting records another look, oldest first."""
        p = self.pool(name)
        room, ahead = self.room(name) if p.queue else 0, 0
        for _ in range(len(p.queue)):
            rec = p.queue.popleft()
            if rec.rid not in self.table or rec.parked != 'credit':
                continue
            # Why looked at first: most of the time there is nothing, and choosing costs more than seeing that.
            if any(p.use[i] < n for i, n in p.grants.items()) and self.pick(rec) is not None:
                self.run(rec)
            elif self.may_wait(rec, ahead, room):
                p.queue.append(rec)
                ahead += 1
            else:
                self.drop(rec, passes.no_credit())

    def want(self, name, least):
        """Tell the pool's keeper our demand, not more often than `least`."""
        p = self.pool(name)
        duty = self.rep.get('duties', f'keeper/{name}')
        if duty is None or not self.leased():
            return
        if p.asked_at is not None and self.now - p.asked_at < least:
            self.alarm_at('wants', p.asked_at + least)
            return
        p.asked_at = self.now
        if duty['fence'] > p.fence:
            p.fence, p.took = duty['fence'], 0
            p.sent.clear()
        need = collections.Counter()
        idle = not p.queue and not p.use and not any(p.met.values())
        for home, n in p.met.items():
            need[home] += n
        for rec in p.queue:
            need[','.join(sorted(rec.home))] += 1
        # Why one to spare: the first request should find credit waiting.
        need[''] += 1 + len(p.use)
        p.met = collections.Counter({h: n // 2 for h, n in p.met.items() if n > 1})
        no = self.count()
        p.sent[no] = self.now
        while len(p.sent) > 50:
            p.sent.popitem(last=False)
        self.tell(
            duty['addr'],
            'want',
            pool=name,
            fence=duty['fence'],
            no=no,
            took=p.took,
            use=dict(p.use),
            need=dict(need),
            idle=idle,
            pressure={i: self.pressure[i] for i in self.routes.pool(name) if i in self.pressure},
        )

    def alarm_wants(self):
        for name, p in list(self.pools.items()):
            if p.queue:
                self.want(name, seam.ms(20))

    def alarm_demand(self):
        self.alarm('demand', self.bounds.demand)
        for key in self.rep.get('duties'):
            self.want(key.removeprefix('keeper/'), seam.ms(20))
        for name in self.pools:
            self.unqueue(name)

    def m_credit(self, env):
        p = self.pool(env['pool'])
        at = p.sent.get(env['no'])
        # Why the fence: a keeper that was replaced must not spend what another now gives out.
        if env['fence'] != p.fence or at is None:
            return
        for no in [n for n in p.sent if n <= env['no']]:
            del p.sent[no]
        p.grants, p.took = env['grants'], env['seq']
        # Why from the sending: the keeper counts from later, so we stop before it gives it away.
        p.until = at + self.bounds.credit
        self.unqueue(env['pool'])

    def m_collect(self, env):
        p = self.pool(env['pool'])
        if env['fence'] < p.fence:
            return
        p.fence, p.took = env['fence'], 0
        p.sent.clear()
        held = p.grants if p.until > self.now else {}
        self.tell(env['a'], 'held', pool=env['pool'], fence=env['fence'], held=held, use=dict(p.use))

    # -- sending ----------------------------------------------------------

    def dispatch(self, rec):
        p = self.pool(rec.pool)
        p.use[rec.inc] += 1
        p.met[','.join(sorted(rec.home))] += 1
        rec.sends += 1
        rec.fid = self.count()
        self.fetches[rec.fid] = (rec, rec.pool, rec.inc, self.now)
        left = rec.until - self.now
        headers = {
            'zt-id': rec.id,
            'zt-attempt': str(rec.attempt),
            'zt-inc': rec.inc,
            'zt-once': '1' if rec.once else '0',
            'zt-left-ms': str(max(1, seam.to_ms(left))),
        }
        for k in ('content-type', 'accept', 'zt-labels', 'zt-home'):
            if k in rec.call.headers:
                headers[k] = rec.call.headers[k]
        self.counts['sends'] += 1
        rec.sent_at = self.now
        # Why longer than the caller waits: until the endpoint is done, its work is there, and counts as credit in use.
        self.out.append(
            seam.Fetch(
                rec.fid,
                self.routes.end(rec.inc)['addr'],
                rec.inc,
                rec.call.method,
                rec.path,
                headers,
                rec.call.body,
                left + self.bounds.linger,
            )
        )

    def on_fetched(self, fid, res):
        if fid in self.open_fetches:
            self.open_fetched(fid, res)
            return
        rec, pool, inc, began = self.fetches.pop(fid)
        if rec.fid == fid:
            rec.there, rec.sent_at = rec.there + (self.now - began), None
        p = self.pool(pool)
        if res.fault and res.sent and self.routes.end(inc):
            # Why held on: a lost connection does not end the work behind it; some times the usual surely does.
            self.held.append((self.now + min(self.bounds.linger, seam.ms(max(100, 4 * p.took_ms))), pool, inc))
            self.alarm_at('held', self.held[-1][0])
        else:
            self.unuse(p, inc)
        if not res.fault:
            # Why smoothed: one slow reply must not close a pool, a run of them should.
            took = seam.to_ms(self.now - began)
            p.took_ms += (took - p.took_ms) / 8 if p.took_ms else took
        if 'zt-pressure' in res.headers:
            try:
                self.pressure[inc] = min(1000.0, max(0.0, float(res.headers['zt-pressure'])))
            except ValueError:
                self.counts['garbled'] += 1
        if rec.rid in self.table and rec.fid == fid:
            rec.res = res
            self.resume(rec)
        else:
            self.late_word(rec, res)
        self.unqueue(pool)

    def unuse(self, p, inc):
        p.use[inc] -= 1
        if not p.use[inc]:
            # Why forgotten: incarnations come and go, and each would leave a row behind.
            del p.use[inc]

    def alarm_held(self):
        """Credit held for work whose end nobody told."""
        over = [h for h in self.held if h[0] <= self.now]
        self.held = [h for h in self.held if h[0] > self.now]
        for _, pool, inc in over:
            self.unuse(self.pool(pool), inc)
        for pool in sorted({pool for _, pool, _ in over}):
            self.unqueue(pool)
        if self.held:
            self.alarm_at('held', min(at for at, _, _ in self.held))

    def late_word(self, rec, res):
        """A reply that came when its caller had been told unknown: a repeat gets it."""
        kept = self.kept.get(rec.id) if rec.nonce else None
        if kept is None or kept.open or not kept.outcome or kept.outcome[1]['zt-outcome'] != passes.UNKNOWN:
            return
        if not passes.fault_of(rec, res) and res.headers['zt-outcome'] == passes.RAN:
            self.kept_bytes += len(res.body) - len(kept.outcome[2])
            kept.outcome = (res.status, self.headers_of(res), res.body)

    def suspect(self, inc):
        self.broken[inc] = self.now + seam.ms(3000)
        if self.master:
            self.tell(self.master['addr'], 'suspect', inc=inc)

    def again(self, rec, e):
        """Another try of ours where the rule allows one, else the drop."""
        rec.tried.add(rec.inc)
        most = (rec.rule.get('repeat') or {}).get('attempts', 1)
        # Why one for free: a refused connection reached nobody, so trying next door repeats nothing.
        free = not rec.res.sent and rec.sends <= 2
        again = (free or rec.sends < most) and self.now < rec.until and self.may_queue(rec)
        if not rec.res.sent and not rec.repeats and not again:
            self.window(rec.pool).not_sent()
        if again:
            rec.counted = free
            self.resume(rec, passes.repeat)
            return passes.WAIT
        raise e

    # -- time -------------------------------------------------------------

    def on_start(self):
        super().on_start()
        self.sharers = repeats.Sharers(self.bounds, self.now)
        self.alarm('demand', self.bounds.demand)

    def alarm_at(self, name, at):
        self.alarms[name] = min(at, self.alarms.get(name, at))

    def alarm_late(self):
        for rec in [r for r in self.table.values() if r.until and r.until <= self.now]:
            if rec.passes is open_.PASSES:
                self.open_late(rec)
            elif rec.parked in ('credit', 'kept'):
                # Why unknown for those that wait on another's run: that one may have run.
                out = passes.NOT_RUN if rec.parked == 'credit' else passes.UNKNOWN
                self.drop(rec, passes.Drop(504, 'no time left', out))
            elif rec.parked == 'close':
                self.say(rec, unsure(rec.given_up))
            elif rec.parked == 'holder':
                self.drop(rec, passes.Drop(504, 'the outcome did not come in time', passes.UNKNOWN))
            elif not rec.parked and rec.fid in self.fetches:
                self.drop(rec, passes.Drop(504, 'no reply in time', passes.UNKNOWN))
        # Why here: a holder that never answers must not leave its question behind.
        self.asks_kept = {k: r for k, r in self.asks_kept.items() if r.rid in self.table}
        times = [r.until for r in self.table.values() if r.until and r.until > self.now]
        if times:
            self.alarm_at('late', min(times))

    def may_repeat(self, rec):
        """The window that has room for a repeat now; else the drop."""
        window = self.window(rec.pool)
        if not window.fits(self.now, self.sharers.count(self.now)):
            self.counts['repeats_dropped'] += 1
            raise passes.Drop(503, 'too many repeats to this service', retry_ms=seam.to_ms(window.retry(self.now)))
        return window

    def met_before(self, rec):
        """Whether another record of this id was here within the repeat window."""
        if rec.once:
            # Why not: its claim says so for all proxies.
            return False
        rid, at = self.met.get(rec.id, (rec.rid, self.now))
        self.met[rec.id] = (rid, at)
        while self.met and (
            len(self.met) > MET_MOST or next(iter(self.met.values()))[1] <= self.now - self.bounds.repeat_window
        ):
            self.met.popitem(last=False)
        return rid != rec.rid

    def window(self, pool):
        # Why the pool's service: names out of callers' paths would grow without end.
        row = self.rep.get('conf', f'pools/{pool}')
        # Why the pool's own name else: it may have been taken away while the claim was under way.
        service = row['service'] if row else pool
        return self.windows.setdefault(service, repeats.Window(self.bounds))

    def elsewhere(self, home):
        """Proxies a dropped caller might try."""
        out = [
            m['http']
            for n, m in self.routes.members('prox').items()
            if n != self.node
            and not m.get('leaving')
            and not self.routes.evacuated(m['cell'])
            and (not home or self.routes.region(m['cell']) in home)
        ]
        return sorted(out)[:5]

    # -- state ------------------------------------------------------------

    def applied(self, rows):
        self.routes.stale()
        self.open_applied()
        self.sharers.see(self.now, len(self.routes.members('prox')))
        incs = set(self.rep.get('endpoints'))
        for inc in sorted(self.incs - incs):
            # Why closed: whoever has its address next must not get what was meant for it.
            self.out.append(seam.Close(inc))
            self.pressure.pop(inc, None)
        self.broken = {i: at for i, at in self.broken.items() if at > self.now}
        self.incs = incs
        epoch = self.rep.get('meta', 'epoch') or 0
        for rid in [r for r, k in self.kept.items() if k.epoch <= epoch - self.bounds.epochs_kept and not k.open]:
            self.forget(rid)
        for key in self.rep.get('duties'):
            name = key.removeprefix('keeper/')
            self.want(name, seam.ms(20))
            self.unqueue(name)

    def on_hung_up(self, rid):
        """The caller went away. What was sent is sent; its outcome is still kept for a repeat."""
        self.open_hung_up(rid)

    # -- leaving ----------------------------------------------------------

    def on_stop(self):
        if self.stopping:
            return
        self.stopping = True
        self.log('Leaves: not ready any more, finishes its work.', 'leave', node=self.node, open=len(self.table))
        if self.master:
            self.tell(self.master['addr'], 'leaving', successors={})
        # Why as long as an answer: requesters go on using us until theirs ends. Why not beyond half the grace: what
        # came last needs time for its work.
        self.alarm('part', min(self.bounds.answer + self.bounds.check * 2, self.bounds.grace / 2))
        self.stop_by = self.now + self.bounds.grace - LAST
        if self.place.front:
            self.out.append(seam.Leave())

    def alarm_part(self):
        if self.place.front and not self.parted:
            # Why before the table is looked at: while newcomers are taken it may never be empty.
            self.parted = True
            self.out.append(seam.Leave(shut=True))
        if self.table and self.now < self.stop_by:
            self.alarm('part', seam.ms(50))
            return
        if self.master:
            self.tell(self.master['addr'], 'leave')
        self.alarm('exit', seam.ms(200))

    def ready(self):
        if self.stopping:
            return False, 'leaving'
        if not self.leased():
            return False, 'no lease'
        if self.routes.evacuated(self.place.cell):
            return False, 'evacuated'
        return True, ''

    def status(self):
        s = super().status()
        s.update(
            table=len(self.table),
            kept=len(self.kept),
            counts=dict(self.counts),
            held=len(self.held),
            # What each service may be sent again now: paid for by firsts, and lent without pay.
            repeats={n: {'paid': round(w.paid, 1), 'lent': len(w.lent)} for n, w in self.windows.items()},
            pools={
                n: {
                    'fence': p.fence,
                    'granted': sum(p.grants.values()) if p.until > self.now else 0,
                    'use': sum(p.use.values()),
                    'queue': len(p.queue),
                }
                for n, p in self.pools.items()
            },
        )
        return s


def page_ready(prox):
    ok, why = prox.ready()
    return {'status': 200 if ok else 503, 'ready': ok, 'why': why}


PAGES = {
    '/v1/ready': page_ready,
    '/v1/live': lambda prox: {'status': 200},
    '/v1/copy': recovery.copy,
    '/v1/copy/brief': lambda prox: recovery.copy(prox, whole=False),
    '/v1/self': lambda prox: {'status': 200, 'state': prox.status()},
}
