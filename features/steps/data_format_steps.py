"""Steps of data_format.feature: a recorded data folder is loaded, and its files are written with the same bytes."""

import json
import os
import random

import behave

import features.support.folder_sample as folder_sample
import features.support.machine_host as machine_host
import zinctrail.consensus.storage as storage
import zinctrail.control.controller as controller
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings


def recorded_files() -> dict[str, str]:
    """Return the files of the recorded folder."""
    files = {}
    for name in os.listdir(folder_sample.FOLDER):
        with open(os.path.join(folder_sample.FOLDER, name), encoding='utf-8') as file:
            files[name] = file.read()
    return files


@behave.given('the recorded folder of format 2')
def recorded_folder(context):
    context.files = recorded_files()
    assert len(context.files) > 10, sorted(context.files)


@behave.when('it is loaded')
def folder_is_loaded(context):
    context.content = folder_sample.content(context.files)


@behave.then('it has the node, term, vote and state that were recorded')
def content_as_recorded(context):
    with open(folder_sample.CONTENT, encoding='utf-8') as file:
        recorded = json.load(file)
    # Converted through JSON, which turns tuples into lists.
    assert json.loads(json.dumps(context.content)) == recorded, context.content


@behave.then('each of its documents is encoded to the same bytes')
def encoded_the_same(context):
    for name, text in context.files.items():
        assert storage.encode(storage.decode(name, text)) == text, name


@behave.when('a control node is started on its files')
def node_is_started(context):
    location = machine_host.location_of('a')
    host = machine_host.MachineHost(
        controller.Controller(location, settings.Settings(), random.Random(1), dict(context.files))
    )
    context.writes = [effect for effect in host.feed('start') if isinstance(effect, effects.Write)]


@behave.then('whatever it writes is what the folder holds already')
def writes_the_same(context):
    assert context.writes
    for write in context.writes:
        assert write.text == context.files[write.name] and not write.obsolete_files, write


@behave.when('a control node carries out the operations of the recorded folder')
def operations_carried_out(context):
    context.files = folder_sample.record()


@behave.then('its files are those of the recorded folder, byte for byte')
def files_are_the_same(context):
    recorded = recorded_files()
    assert sorted(context.files) == sorted(recorded), sorted(context.files)
    for name, text in recorded.items():
        assert context.files[name] == text, (name, context.files[name], text)
