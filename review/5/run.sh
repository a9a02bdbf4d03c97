#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/5/script.mjs
