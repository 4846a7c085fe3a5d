#!/usr/bin/env bash
# TROUBLE=0 plays the case without its disruption.
exec python3 "$(dirname "$0")/case.py" "${TROUBLE:-1}"
