"""A voter that was told to stop hands over."""

import zinctrail.seam as seam


class Leaving:
    """A voter that was told to stop hands over."""

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
