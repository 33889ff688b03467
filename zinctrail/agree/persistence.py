"""A voter's durable writes: its identity, term and vote, and the states that it accepted."""

import zinctrail.agree.journal as journal
import zinctrail.seam as seam


class Persistence:
    """A voter's durable writes: its identity, term and vote, and the states that it accepted."""

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
