export {createHost, type Host, type HostParts} from './wiring.js';
export {
  loadSettings,
  checkSettings,
  type Settings,
} from './process/settings.js';
export {
  describeFailure,
  FailureError,
  type Failure,
} from './process/errors/catalogue.js';
export type * from './version/resources/kinds.js';
