/** Schema and parser of the settings file of a VM. */
export { parseSettings, type Settings, type Limits } from './settings.js'
export { SettingsDocument } from './schema.js'
