"""Hooks of behave: nothing outlives a scenario, and no deployment its feature."""

import shutil

import features.support.deployment as deployment


def before_scenario(context, scenario):
    """A scenario starts without a fleet of its own."""
    context.fleet = None


def after_scenario(context, scenario):
    """Stop the scenario's fleet."""
    if context.fleet is not None:
        context.fleet.stop()


def after_feature(context, feature):
    """Stop the feature's deployments; their logs are kept where it failed."""
    while deployment.RUNNING:
        stopped = deployment.RUNNING.pop()
        stopped.stop()
        if feature.status.name == 'passed':
            shutil.rmtree(stopped.folder, ignore_errors=True)
