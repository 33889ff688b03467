"""ztprox: a proxy. Carries requests to endpoints as rules, credit and leases allow.

ztprox --addr=IP:PORT --http=IP:PORT --cell=CELL --seeds=A,B,C
"""

import zinctrail.data.proxy as proxy
import zinctrail.edge.main as main


def run(dialect=None, argv=None, again=None):
    main.serve(__doc__, lambda place, bounds, rng: (proxy.Prox(place, bounds, rng), None), dialect, argv, again)


if __name__ == '__main__':
    run()
