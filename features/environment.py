"""Nothing outlives a scenario."""


def before_scenario(context, scenario):
    context.fleet = None


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.fleet.stop()
