"""ztprox: a proxy. Carries requests to endpoints as rules, credit and leases allow.

  ztprox --addr=IP:PORT --http=IP:PORT --cell=CELL --seeds=A,B,C
"""

import zinctrail.data.proxy as proxy
import zinctrail.edge.main as main


def run():
    main.serve(__doc__, lambda place, bounds, rng: (proxy.Prox(place, bounds, rng), None))


if __name__ == '__main__':
    run()
