"""Nothing outlives a scenario, and no chain its feature."""

import shutil

import features.stands as stands


def before_scenario(context, scenario):
    context.fleet = None


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.fleet.stop()


def after_feature(context, feature):
    while stands.CHAINS:
        chain = stands.CHAINS.pop()
        chain.stop()
        # Why only then: the logs of one that failed are wanted.
        if feature.status.name == 'passed':
            shutil.rmtree(chain.folder, ignore_errors=True)
