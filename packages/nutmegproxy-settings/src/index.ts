/** Public API of the settings package. */

export type {LogOptions, ResolvedSettings} from './ResolvedSettings.ts';
export {Secret} from './Secret.ts';
export {resolveSecret} from './SecretReference.ts';
export type {Environment, SecretFailure} from './SecretReference.ts';
export {readEntrySettings, readSettings} from './Settings.ts';
export {DEFAULT_KEY_PREFIX, DEFAULT_LOG, DEFAULT_TIMINGS} from './SettingsConstants.ts';
export {describeSettingsFailure} from './SettingsFailure.ts';
export type {SettingsFailure, SettingsFault} from './SettingsFailure.ts';
