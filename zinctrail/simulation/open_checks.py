"""The checkers of open traffic: one for each rule of RULES.md that the machines can break."""

import zinctrail.simulation.checkers.open_configuration
import zinctrail.simulation.checkers.open_contact as open_contact
import zinctrail.simulation.checkers.open_coordination
import zinctrail.simulation.checkers.open_figures as open_figures
import zinctrail.simulation.checkers.open_requests  # noqa: F401 (these modules register their checkers)
import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.open_actors.deployment as open_deployment

ALL = registry.OPEN


def run(deployment: open_deployment.Deployment, only: str | None = None) -> list[str]:
    """Return the violations found by all checkers, or by one."""
    deployment.contact = open_contact.Contact(deployment)
    return ALL.run(deployment, only)


def figures(deployment: open_deployment.Deployment) -> dict[str, float]:
    """Return the worst value for each bound, in ms or as a ratio; figures without a value are left out."""
    return open_figures.figures(deployment)
