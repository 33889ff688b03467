"""Writes docs/CAPACITY.md from measured figures: slopes, their residuals, projections to the target size, plots.

  python -m zinctrail.simulation.capacity fit      fit slopes to docs/capacity/points.json and loopback.json, save and print them
  python -m zinctrail.simulation.capacity page     write the tables between the markers in docs/CAPACITY.md
  python -m zinctrail.simulation.capacity plot     draw docs/capacity/*.svg (needs the extra `plot`)

A slope is fitted to y = a + b x over the medians of the seeds, with relative
residuals, so that every size has the same weight. The residual shown is the
largest of all sizes. The spread is the range of a size's seeds divided by its
median, the widest of all sizes. The exponent is that of the last decade after
`a` is subtracted. A fit whose residual is above 0.15 is called not linear.
"""

import sys

import zinctrail.simulation.capacity.check_table as check_table
import zinctrail.simulation.capacity.data_table as data_table
import zinctrail.simulation.capacity.losses_table as losses_table
import zinctrail.simulation.capacity.mechanisms_table as mechanisms_table
import zinctrail.simulation.capacity.plots as plots
import zinctrail.simulation.capacity.projection as capacity_projection
import zinctrail.simulation.capacity.roles_table as roles_table
import zinctrail.simulation.capacity.slopes as capacity_slopes
import zinctrail.simulation.capacity.slopes_table as slopes_table
import zinctrail.simulation.scale.records as records

# The page whose tables are written.
PAGE = 'docs/CAPACITY.md'

# The functions that make the tables, by the markers in the page.
TABLES = {
    'mechanisms': mechanisms_table.mechanisms_table,
    'slopes': slopes_table.slopes_table,
    'roles': roles_table.roles_table,
    'check': check_table.check_table,
    'losses': losses_table.losses_table,
    'data': data_table.data_table,
}


def write_page(projection: capacity_projection.Projection) -> None:
    """Replace the tables between the markers in docs/CAPACITY.md."""
    with open(PAGE, encoding='utf-8') as file:
        text = file.read()
    for name, make in TABLES.items():
        begin, end = f'<!-- {name} -->\n', f'<!-- end of {name} -->'
        before, rest = text.split(begin)
        text = before + begin + '\n' + make(projection) + '\n\n' + end + rest.split(end)[1]
    with open(PAGE, 'w', encoding='utf-8') as file:
        file.write(text)


def write_slopes(projection: capacity_projection.Projection) -> None:
    """Save the slopes and print them."""
    records.save(projection.found, capacity_slopes.SLOPES)
    print(slopes_table.slopes_table(projection))


def draw_plots(projection: capacity_projection.Projection) -> None:
    """Draw docs/capacity/*.svg."""
    plots.plot(projection.found)


COMMANDS = {'fit': write_slopes, 'page': write_page, 'plot': draw_plots}


def main(arguments: list[str]) -> int:
    """Run one of the commands and return the exit status."""
    if len(arguments) != 1 or arguments[0] not in COMMANDS:
        print(__doc__.strip())
        return 0 if arguments[:1] == ['--help'] else 2
    points, loopback = records.load(), records.load(records.LOOPBACK)
    found = capacity_slopes.slopes(points, loopback)
    COMMANDS[arguments[0]](capacity_projection.Projection(found, points, loopback))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
