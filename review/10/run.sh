#!/bin/sh
# The case of claim.txt; TROUBLE=0 leaves out the disruption. Exit 1: broken, 0: held, 2: could not run.
exec "$(dirname "$0")/../standin-2/run-case.sh" BadFigures "$(dirname "$0")"
