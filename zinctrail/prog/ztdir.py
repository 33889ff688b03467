"""ztdir: the thin daemon on each machine. Standing answers, relayed calls, credit.

ztdir --addr=IP:PORT --http=IP:PORT --cell=CELL --seeds=A,B,C
"""

import zinctrail.dir.daemon as daemon
import zinctrail.edge.main as main


def run():
    main.serve(__doc__, lambda place, bounds, rng: (daemon.Dir(place, bounds, rng), None))


if __name__ == '__main__':
    run()
