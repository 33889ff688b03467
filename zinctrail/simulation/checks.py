"""The checkers of library traffic: one for each line of the section "What must never happen" of the brief."""

import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.checkers.configuration
import zinctrail.simulation.checkers.coordination
import zinctrail.simulation.checkers.figures as library_figures
import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.checkers.requests  # noqa: F401 (these modules register their checkers)

ALL = registry.CLIENT


def run(deployment: client_deployment.Deployment, only: str | None = None) -> list[str]:
    """Return the violations found by all checkers, or by one."""
    return ALL.run(deployment, only)


def figures(deployment: client_deployment.Deployment) -> dict[str, float]:
    """Return the worst value for each bound, in ms or as a ratio; figures without a value are left out."""
    return library_figures.figures(deployment)
