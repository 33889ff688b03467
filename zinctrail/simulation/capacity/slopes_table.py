"""The table of slopes in docs/CAPACITY.md."""

import zinctrail.simulation.capacity.formats as formats
import zinctrail.simulation.capacity.projection as capacity_projection
import zinctrail.simulation.capacity.slopes as capacity_slopes

three_figures = formats.three_figures

HEAD = ('over', 'figure', 'sizes', 'a', 'b (each)', 'residual', 'spread', 'straight')

# The listed figures, by sweep.
LISTED_FIGURES = (
    (
        'nodes',
        (
            'quiet/master/messages',
            'quiet/master/bytes',
            'quiet/master/cpu_ms',
            'change/master/messages',
            'change/master/bytes',
            'change/master/cpu_ms',
            'quiet/follower/bytes',
            'quiet/follower/cpu_ms',
            'quiet/dir/bytes',
            'quiet/dir/cpu_ms',
            'quiet/prox/messages',
            'quiet/prox/bytes',
            'quiet/prox/cpu_ms',
            'change/prox/bytes',
            'change/prox/cpu_ms',
            'answer/dir/cpu_ms',
            'killed/master/messages',
            'killed/master/bytes',
            'restarted/master/messages',
            'restarted/master/bytes',
            'restarted/prox/bytes',
            'apart/prox/messages',
            'apart/prox/bytes',
            'state/routes/bytes',
        ),
    ),
    (
        'endpoints',
        (
            'quiet/master/messages',
            'quiet/master/bytes',
            'quiet/master/cpu_ms',
            'quiet/follower/bytes',
            'quiet/follower/cpu_ms',
            'quiet/prox/bytes',
            'quiet/prox/cpu_ms',
            'change/prox/cpu_ms',
            'state/routes/bytes',
            'routes_ms',
        ),
    ),
    (
        'beats_at_dir',
        ('quiet/master/messages', 'quiet/master/bytes', 'quiet/master/cpu_ms', 'quiet/dir/bytes', 'quiet/dir/cpu_ms'),
    ),
    ('services', ('quiet/master/cpu_ms', 'quiet/prox/bytes', 'change/prox/cpu_ms', 'state/routes/bytes', 'routes_ms')),
    (
        'routes',
        (
            'quiet/master/cpu_ms',
            'quiet/prox/bytes',
            'change/master/cpu_ms',
            'change/prox/bytes',
            'change/prox/cpu_ms',
            'state/routes/bytes',
            'routes_ms',
        ),
    ),
    (
        'tenants',
        (
            'quiet/master/cpu_ms',
            'quiet/prox/bytes',
            'change/master/cpu_ms',
            'change/prox/cpu_ms',
            'state/routes/bytes',
            'routes_ms',
        ),
    ),
    (
        'pools',
        (
            'quiet/dir/messages',
            'quiet/dir/bytes',
            'quiet/dir/cpu_ms',
            'quiet/prox/messages',
            'quiet/prox/bytes',
            'quiet/prox/cpu_ms',
        ),
    ),
    (
        'changes',
        ('change/master/messages', 'change/master/bytes', 'change/master/cpu_ms', 'change/prox/bytes', 'in_force_ms'),
    ),
    (
        'claims',
        (
            'claim/master/messages',
            'claim/master/bytes',
            'claim/master/cpu_ms',
            'claim/master/writes',
            'claim/master/write_bytes',
            'claim/follower/bytes',
            'claim/prox/bytes',
        ),
    ),
    ('headless', ('headless/master/messages', 'headless/master/bytes', 'headless/prox/bytes', 'headless/ms')),
    (
        'losses',
        (
            'killed/master/messages',
            'killed/ms',
            'restarted/master/messages',
            'restarted/master/bytes',
            'restarted/ms',
            'back/ms',
        ),
    ),
    ('memory_nodes', ('master/mb', 'prox/mb')),
    ('memory_endpoints', ('master/mb', 'prox/mb')),
    ('memory_services', ('master/mb', 'prox/mb')),
    ('memory_routes', ('master/mb', 'prox/mb')),
    ('memory_tenants', ('master/mb', 'prox/mb')),
    ('open', ('cpu_ms', 'cpu_share')),
    ('open_pool', ('cpu_ms',)),
    ('beat', ('cpu_ms',)),
    ('answer', ('cpu_ms',)),
)


def slope_row(sweep: str, figure: str, slope: capacity_slopes.Slope) -> tuple:
    """Return the row of a slope."""
    sizes = slope['x']
    return (
        sweep,
        figure,
        f'{three_figures(sizes[0])} to {three_figures(sizes[-1])}, {len(sizes)}',
        three_figures(slope['a']),
        three_figures(slope['b']),
        *capacity_slopes.confidence(slope),
    )


def slopes_table(projection: capacity_projection.Projection) -> str:
    """Return the table in Markdown; figures that were not measured are omitted."""
    rows = []
    for sweep, figures in LISTED_FIGURES:
        for figure in figures:
            slope = projection.found.get(sweep, {}).get(figure)
            if slope:
                rows.append(slope_row(sweep, figure, slope))
    return formats.table(HEAD, rows)
