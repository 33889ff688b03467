"""The plots of docs/CAPACITY.md; they need the extra `plot`."""

import collections.abc
import typing

import zinctrail.simulation.capacity.projection as capacity_projection
import zinctrail.simulation.capacity.slopes as capacity_slopes
import zinctrail.simulation.scale.records as records

Slope = capacity_slopes.Slope

NODE_BYTES = capacity_projection.NODE_BUDGET['bytes']
# Budgets: one core, in ms of processor time per second, and the time until a change is in force, in ms.
CORE_MS = 1000
IN_FORCE_MS = 8000
# Replaces zero, which a logarithmic axis cannot show.
NEARLY_ZERO = 1e-9


class Panel(typing.NamedTuple):
    """One plot of figures over a dimension, with the fitted lines."""

    title: str
    unit: str
    # (label, slope) of each figure; figures without a fitted slope are omitted.
    figures: collections.abc.Sequence[tuple[str, Slope | None]]
    target: int
    budget: float | None = None


def draw(axes, panel: Panel) -> None:
    """Draw a panel: measured medians, fitted lines, target size and budget."""
    for label, slope in panel.figures:
        if slope is None or slope['residual'] is None:
            continue
        points = axes.plot(slope['x'], slope['y'], 'o', label=label)
        xs = [*slope['x'], max(panel.target, slope['x'][-1])]
        ys = [max(NEARLY_ZERO, slope['a'] + slope['b'] * x) for x in xs]
        axes.plot(xs, ys, '-', color=points[0].get_color(), lw=0.8)
    axes.axvline(panel.target, color='gray', ls=':')
    if panel.budget:
        axes.axhline(panel.budget, color='red', ls='--', lw=0.8, label='budget')
    axes.set(xscale='log', yscale='log', title=panel.title, ylabel=panel.unit)
    axes.legend(fontsize=7)


def quiet_panel(found: capacity_slopes.Slopes, metric: str, unit: str, budget: float) -> Panel:
    """Return the panel of each role's cost while nothing changes, over nodes."""
    figures = [(role, found['nodes'].get(f'quiet/{role}/{metric}')) for role in capacity_slopes.ROLES]
    return Panel(f'{metric} over nodes', unit, figures, capacity_projection.TARGET['nodes'], budget)


def change_panel(found: capacity_slopes.Slopes) -> Panel:
    """Return the panel of the cost of one change, over nodes."""
    nodes = found['nodes']
    figures = [('leader: ms', nodes['change/master/cpu_ms']), ('proxy: ms', nodes['change/prox/cpu_ms'])]
    target = capacity_projection.TARGET['nodes']
    return Panel('one change, over nodes', 'processor ms', figures, target, IN_FORCE_MS)


def losses_panel(found: capacity_slopes.Slopes) -> Panel:
    """Return the panel of the cost of losses, over nodes."""
    nodes = found['nodes']
    figures = [
        ('killed: messages of the leader', nodes['killed/master/messages']),
        ('restarted: messages of the leader', nodes['restarted/master/messages']),
        ('parted: messages a second of each', nodes['apart/prox/messages']),
    ]
    return Panel('losses, over nodes', 'messages', figures, capacity_projection.TARGET['nodes'])


def memory_panel(found: capacity_slopes.Slopes, role: str, budget: float | None) -> Panel:
    """Return the panel of the memory of a role, over each dimension."""
    figures = [(dimension, found[f'memory_{dimension}'].get(f'{role}/mb')) for dimension in capacity_slopes.DIMENSIONS]
    return Panel(f'memory of a {role}', 'MB', figures, capacity_projection.TARGET['endpoints'], budget)


def draw_figure(pyplot, name: str, size: tuple[int, int], rows: list[list[Panel]]) -> None:
    """Draw rows of panels into a file of docs/capacity."""
    figure, axes = pyplot.subplots(len(rows), len(rows[0]), figsize=size, squeeze=False)
    for panels, row in zip(rows, axes, strict=True):
        for panel, each in zip(panels, row, strict=True):
            draw(each, panel)
    figure.tight_layout()
    figure.savefig(f'{records.FOLDER}/{name}.svg', metadata={'Date': None})


def plot(found: capacity_slopes.Slopes) -> None:
    """Draw all plots."""
    # Imported here, because only the plots need the library.
    import matplotlib

    matplotlib.use('svg')
    import matplotlib.pyplot as pyplot

    matplotlib.rcParams['svg.hashsalt'] = 'zinctrail'
    over_nodes = [
        [
            quiet_panel(found, 'bytes', 'bytes a second, quiet', NODE_BYTES),
            quiet_panel(found, 'cpu_ms', 'processor ms a second, quiet', CORE_MS),
        ],
        [change_panel(found), losses_panel(found)],
    ]
    draw_figure(pyplot, 'nodes', (10, 8), over_nodes)
    node_mb = capacity_projection.NODE_BUDGET['mb']
    memory = [memory_panel(found, 'prox', node_mb), memory_panel(found, 'master', None)]
    draw_figure(pyplot, 'memory', (10, 4), [memory])
