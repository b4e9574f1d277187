import type {FailureTexts} from './catalogue.js';

/** Failures of reading and validating settings. */
export type SettingsFailure =
  | {kind: 'settings-unreadable'; file: string; reason: string}
  | {kind: 'settings-not-json'; file: string; reason: string}
  | {kind: 'settings-unknown-key'; path: string}
  | {kind: 'settings-missing-key'; path: string}
  | {kind: 'settings-invalid-value'; path: string; reason: string};

/** Texts of the settings failures. */
export const settingsFailures: FailureTexts<SettingsFailure> = {
  'settings-unreadable': {
    title: 'Settings file cannot be read',
    message: f => `cannot read settings file "${f.file}": ${f.reason}`,
    hint: 'Check the path given with --settings and the permissions of the file.',
  },
  'settings-not-json': {
    title: 'Settings file is not JSON',
    message: f => `settings file "${f.file}" is not valid JSON: ${f.reason}`,
    hint: 'Settings are a single JSON object; comments and trailing commas are not allowed.',
  },
  'settings-unknown-key': {
    title: 'Unknown settings key',
    message: f => `settings key "${f.path}" does not exist`,
    hint: 'Compare the key with the settings reference in docs/operations/settings.md.',
  },
  'settings-missing-key': {
    title: 'Missing settings key',
    message: f => `settings key "${f.path}" is required`,
    hint: 'Add the key; docs/operations/settings.md describes it.',
  },
  'settings-invalid-value': {
    title: 'Invalid settings value',
    message: f => `settings key "${f.path}" ${f.reason}`,
    hint: 'docs/operations/settings.md gives the type and range of each key.',
  },
};
