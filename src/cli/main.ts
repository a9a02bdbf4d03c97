#!/usr/bin/env node
/** Entry point of the `camphorbay` command line. */
import { createCli } from './cli.js'

const cli = createCli()
process.exitCode = await cli.run(process.argv.slice(2), { ...process, env: process.env, stdin: process.stdin, stdout: process.stdout, stderr: process.stderr, colorDepth: 1 })
