#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/4/script.mjs
