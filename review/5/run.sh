#!/usr/bin/env bash
# A task of a cancelled job runs on after the leader was stopped.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out.
exec "$(dirname "$0")/../run-case.sh" review/5 CancelledRunLasts
