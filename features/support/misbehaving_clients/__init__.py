"""Crowds of clients that misbehave at one listener of a real process, and what they cost that process. For tests only.

process_usage   memory, temporary files and descriptors of a process
crowd           connections that send what a scenario says, and read nothing
endpoint        an endpoint whose answers are as long as its requests ask
site            the processes of a scenario, with lowered limits, and the listeners of each
crowds          each kind of misbehaviour
"""
