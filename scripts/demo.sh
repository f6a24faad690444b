#!/usr/bin/env bash
echo "not yet" >&2
exit 1
