"""Which members vote: changed one step at a time, by agreement."""

import zinctrail.agree.partner as partner
import zinctrail.agree.replication as replication
import zinctrail.seam as seam


class VotingSet:
    """Which members vote: changed one step at a time, by agreement."""

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
            and self.rep.accepted[1] - p.accepted[1] <= 2 * replication.FLIGHTS_MOST
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
