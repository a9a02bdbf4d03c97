import { Builtins, Cli, type BaseContext } from 'clipanion'
import { ConfigurationCommand } from './configuration.js'
import { ExplainLogCommand } from './explain-log.js'
import { ExplainRequestCommand } from './explain-request.js'
import { ExplainServiceCommand } from './explain-service.js'
import { ExplainTargetCommand } from './explain-target.js'
import { NoteCheckCommand } from './note-check.js'
import { NoteListCommand } from './note-list.js'
import { NoteShowCommand } from './note-show.js'
import { NoteSubmitCommand } from './note-submit.js'
import { StateCommand } from './state.js'
import { RunCommand } from './run.js'
import { SettingsCheckCommand } from './settings-check.js'

export const VERSION = '0.1.0'

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  RunCommand,
  SettingsCheckCommand,
  NoteCheckCommand,
  NoteSubmitCommand,
  NoteShowCommand,
  NoteListCommand,
  StateCommand,
  ConfigurationCommand,
  ExplainServiceCommand,
  ExplainTargetCommand,
  ExplainRequestCommand,
  ExplainLogCommand
] as const

/** Creates the command-line interface with all commands registered. */
export function createCli (): Cli<BaseContext> {
  const cli = new Cli<BaseContext>({ binaryName: 'camphorbay', binaryLabel: 'camphorbay', binaryVersion: VERSION })
  for (const command of COMMANDS) cli.register(command)
  return cli
}
