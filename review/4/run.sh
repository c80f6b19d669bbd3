#!/usr/bin/env bash
# A guaranteed job that never begins, since another tenant has borrowed the accelerators.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out.
exec "$(dirname "$0")/../run-case.sh" review/4 GuaranteeBorrowed
