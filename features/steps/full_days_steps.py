"""Steps of full_accra.feature and full_ukks.feature: scenarios of large deployments at their full size and rates."""

import behave

import zinctrail.runtime.durations as durations
import zinctrail.simulation.days as days

SEED = 7
LENGTH = durations.ms(10000)


@behave.given('a full day of {shape} with {faults}')
def full_day(context, shape: str, faults: str):
    context.simulated_scenario = days.Scenario(SEED, faults.split(','), shape, LENGTH).run()
