"""The commands of zinctrailctl, one module per group; cli.ctl parses the command line and runs one command."""
