let stopRequested: Promise<void> | undefined;

/**
 * Handles the signals of a process that serves until it is stopped: SIGTERM and SIGINT request a stop,
 * and SIGHUP has no effect. The handlers stay for good: the default of a signal would end the process,
 * also if it arrives during the start, or a second time during the stop.
 *
 * @returns Resolves at the first SIGTERM or SIGINT, also if that came after an earlier call.
 */
export function handleSignals(): Promise<void> {
  return (stopRequested ??= new Promise(resolve => {
    process.on('SIGHUP', () => {});
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  }));
}
