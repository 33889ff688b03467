"""The command-line programs: the servers, zinctrailctl for operators, and the test tools."""
