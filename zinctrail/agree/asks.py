"""Operations that other members ask the master to do, each of them once."""

import zinctrail.agree.outcomes as outcomes
import zinctrail.agree.partner as partner
import zinctrail.seam as seam

# How many outcomes a master remembers of what it was asked, and for how long.
TOLD_MOST = 4096
TOLD = seam.ms(10000)


class Asks:
    """Operations that other members ask the master to do, each of them once."""

    def ask(self, op, args, cb, wait=None):
        if self.mode == 'leader':
            self.serve_call(op, args, cb)
        else:
            super().ask(op, args, cb, wait)

    def m_ask(self, env):
        addr, key = env['a'], env['key']
        if self.mode != 'leader' or self.stopping:
            self.tell(addr, 'ask_re', key=key, result=outcomes.NO_MASTER)
            return
        if key in self.asked:
            # Why left alone: it is put again while it is being done, and a watch is being done for long.
            return
        if key in self.told:
            self.tell(addr, 'ask_re', key=key, result=self.told[key][1])
            return
        self.asked.add(key)
        peer = self.peers.get(env['f'])
        # Proxies and directories put what was refused to the next master; callers of control nodes don't wait so long.
        patient = peer is None or peer.role != 'core'

        def done(res):
            self.asked.discard(key)
            # Why kept: a copy still on its way must not act a second time.
            if self.acts(env['op']) and res['status'] not in partner.REFUSALS:
                self.told[key] = (self.now, res)
                while self.told and (len(self.told) > TOLD_MOST or next(iter(self.told.values()))[0] < self.now - TOLD):
                    self.told.popitem(last=False)
            self.tell(addr, 'ask_re', key=key, result=res)

        self.serve_call(env['op'], env['args'], done, patient)

    def acts(self, op):
        """For the role: whether doing it twice differs from doing it once."""
        return True

    def serve(self, op, args, cb):
        """For the role: the operations a master does for the others."""
        cb({'status': 404, 'fault': f'no operation {op}'})
