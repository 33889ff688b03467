"""Nothing outlives a scenario, and no chain its feature."""

import features.stands as stands


def before_scenario(context, scenario):
    context.fleet = None


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.fleet.stop()


def after_feature(context, feature):
    while stands.CHAINS:
        stands.CHAINS.pop().stop()
