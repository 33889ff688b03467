"""Heartbeat rounds, the leases and the fenced reads that rest on them."""

import zinctrail.agree.partner as partner
import zinctrail.agree.replica as replica
import zinctrail.seam as seam


class Leases:
    """Heartbeat rounds, the leases and the fenced reads that rest on them."""

    def alarm_chk(self):
        self.start_round(True)
        self.alarm('chk', self.bounds.check)
        if self.now - self.quorum_at > self.bounds.check * self.bounds.misses:
            self.step_down('no quorum answers')
            return
        for p in [p for p in self.peers.values() if p.ack_at < self.now - self.pace(p) * self.bounds.misses]:
            self.fault_member(p, 'silent')
        self.forget_transfers()
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
        self.watch_contact()

    def m_chk_re(self, env):
        if env.get('no'):
            if env['term'] > self.term:
                self.deposed(env['term'])
            return
        p = self.peers.get(env['f'])
        if self.mode != 'leader' or p is None or env['term'] != self.term:
            return
        p.ack_at = self.now
        if env.get('pieces'):
            self.piecewise.add(p.node)
        if env['round'] > p.acked:
            if not p.acked and 'grants' not in self.alarms:
                # Why a round soon: it has no lease yet and serves nobody.
                self.alarm('grants', self.bounds.gather)
            p.acked, p.acked_at = env['round'], self.now
        p.accepted = max(p.accepted or (0, 0), partner.tup(env['accepted']))
        # Why not the larger for a voter: one that was started again no longer knows what it was told.
        p.committed = (
            partner.tup(env['committed']) if p.role == 'core' else max(p.committed, partner.tup(env['committed']))
        )
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
        if p.sent is not None and self.in_transfer(p):
            self.press_transfer(p)
            return
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
        return self.rep.committed if p.role == 'core' else partner.tup(self.rep.get('meta', 'routes'))

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
        # What waited while we were out of touch.
        self.pump()

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
