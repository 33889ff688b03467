"""The directory: the thin daemon on each machine. Standing answers, relayed calls, credit keeping."""

import zinctrail.agree.partner as partner
import zinctrail.ctl.api as api
import zinctrail.ctl.routes as routes
import zinctrail.dir.keeper as keeper
import zinctrail.faults as faults
import zinctrail.seam as seam


class Dir(api.Api, partner.Partner):
    role = 'dir'
    prefix = 'dir'

    def __init__(self, place, bounds, rng):
        super().__init__(place, bounds, rng)
        self.api_init()
        self.routes = routes.Routes(self.rep)
        self.ledgers = {}
        self.handed = {}

    def pages(self):
        return {('POST', '/v1/answer'): Dir.page_answer}

    def ready(self):
        ok, why = super().ready()
        if ok and not self.leased():
            return False, 'no lease'
        return ok, why

    # -- standing answers -------------------------------------------------

    def page_answer(self, call, body, answer):
        api.only(body, 'home', 'cell', 'most')
        home, cell, most = body.get('home', []), body.get('cell', self.place.cell), body.get('most', 3)
        if not isinstance(home, list) or not all(isinstance(r, str) for r in home):
            raise faults.CallFault(400, 'home must be a list of regions')
        if not isinstance(cell, str):
            raise faults.CallFault(400, 'cell must be a text')
        if isinstance(most, bool) or not isinstance(most, int) or not 1 <= most <= 20:
            raise faults.CallFault(400, 'most must be a whole number from 1 to 20')
        if not self.leased():
            # Why no stale answer: a requester would go on acting on what we no longer know.
            raise faults.CallFault(503, 'no lease on the state', elsewhere=self.others('dir'), retry_ms=300)
        answer(self.standing(home, cell, most))

    def others(self, role):
        return sorted(m['http'] for n, m in self.rep.get('members').items() if m['role'] == role and n != self.node)

    def standing(self, home, cell, most):
        region = self.routes.region(cell)

        def far(m):
            return 0 if m['cell'] == cell else 1 if self.routes.region(m['cell']) == region else 2
        good = [m for m in self.routes.members('prox').values()
                if not m.get('leaving') and not self.routes.evacuated(m['cell'])
                and (not home or self.routes.region(m['cell']) in home)]
        if not good:
            raise faults.CallFault(503, 'no proxy may carry this now', retry_ms=1000)
        # Why shuffled within a distance: requesters of a cell must not all lean on one proxy.
        self.rng.shuffle(good)
        good.sort(key=far)
        ttl = min(self.bounds.answer, self.lease_left())
        return {'status': 200, 'proxies': [m['http'] for m in good[:most]], 'ttl_ms': max(1, seam.to_ms(ttl)),
                'epoch': self.rep.get('meta', 'epoch') or 0, 'generation': self.rep.committed[1],
                'dirs': self.others('dir')[:3]}

    # -- the keeper's duty ------------------------------------------------

    def applied(self, rows):
        self.routes.stale()
        duties = self.rep.get('duties')
        proxies = self.routes.members('prox')
        for key, row in duties.items():
            pool = key.removeprefix('keeper/')
            mine = self.ledgers.get(pool)
            if row['holder'] == self.node and (mine is None or mine.fence != row['fence']):
                ledger = self.ledgers[pool] = keeper.Ledger(pool, row['fence'], self.bounds)
                ledger.collect(self.now, proxies)
                if self.handed.get(pool, (0, None))[0] == row['fence']:
                    ledger.take(self.now, self.handed.pop(pool)[1])
                self.log(f'Keeps pool {pool} under fence {row["fence"]}.')
                for m in proxies.values():
                    self.tell(m['addr'], 'collect', pool=pool, fence=row['fence'])
            elif row['holder'] != self.node and mine is not None:
                # Why handed on: the next keeper need not wait for what it is told.
                self.tell(row['addr'], 'ledger', pool=pool, fence=row['fence'], ledger=mine.hand())
                del self.ledgers[pool]
        for pool in [p for p in self.ledgers if f'keeper/{p}' not in duties]:
            del self.ledgers[pool]
        for ledger in self.ledgers.values():
            ledger.waiting &= set(proxies)

    def m_ledger(self, env):
        pool, ledger = env['pool'], self.ledgers.get(env['pool'])
        if ledger and ledger.fence == env['fence']:
            ledger.take(self.now, env['ledger'])
        else:
            self.handed[pool] = (env['fence'], env['ledger'])

    def m_held(self, env):
        ledger = self.ledgers.get(env['pool'])
        if ledger and ledger.fence == env['fence'] and not ledger.is_ready(self.now):
            ledger.collected(self.now, env['f'], env['held'], env['use'])

    def m_want(self, env):
        ledger = self.ledgers.get(env['pool'])
        if ledger is None or ledger.fence != env['fence'] or not self.leased():
            return
        if env['f'] not in self.routes.members('prox'):
            return
        grants = ledger.want(self.now, env['f'], env, self.routes)
        if grants is not None:
            self.tell(env['a'], 'credit', pool=env['pool'], fence=ledger.fence, grants=grants, no=env['no'],
                      seq=ledger.holders[env['f']].no)

    # -- leaving ----------------------------------------------------------

    def on_stop(self):
        if self.stopping:
            return
        self.stopping = True
        self.log('Leaves.')
        dirs = sorted(n for n, m in self.routes.members('dir').items() if n != self.node and not m.get('leaving'))
        if self.master:
            names = {pool: dirs[i % len(dirs)] for i, pool in enumerate(sorted(self.ledgers))} if dirs else {}
            self.tell(self.master['addr'], 'leaving', successors=names)
        # Why a pause: requesters learn of other directories while we still answer.
        self.alarm('part', self.bounds.answer / 2)

    def alarm_part(self):
        if self.master:
            self.tell(self.master['addr'], 'leave')
        self.alarm('exit', seam.ms(200))

    def status(self):
        s = super().status()
        s.update(ledgers={p: {'fence': l.fence, 'holders': len(l.holders), 'ready': l.is_ready(self.now),
                              'held': sum(sum(h.held.values()) for h in l.holders.values())}
                          for p, l in self.ledgers.items()})
        return s
