/** Bounds of a deployment that decide which unanswered requests count as lost, in milliseconds. */
export interface LostBounds {
  /** Time from SIGTERM until the platform kills the process. */
  readonly graceMs: number;
  /** Time after its acknowledgement within which a configuration is in force. */
  readonly configApplyMs: number;
  /** Time within which a request that was not passed on may end with its connection. */
  readonly lossSlackMs: number;
  /** Time for which a disruption excuses what follows it. */
  readonly contactMs: number;
}

/** A span of time, in milliseconds; `toMs` is `Infinity` while it lasts. */
export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Planned work on a host and on the configuration, in milliseconds. */
export interface PlannedWork {
  readonly sigtermMs: readonly number[];
  readonly sighupMs: readonly number[];
  /** From the sending of a configuration to its acknowledgement by the store. */
  readonly configurations: readonly Span[];
}

/** Kinds of planned work. */
export type WorkKind = keyof PlannedWork;

/** A request as its caller and the targets saw it. */
export interface SeenRequest {
  /** When its last byte was sent, in milliseconds. */
  readonly sentMs: number;
  /** When its response or its connection ended, in milliseconds. */
  readonly endedMs: number;
  /** Whether its connection was established; nothing of it was sent otherwise. */
  readonly isConnected: boolean;
  /** Whether its caller got the beginning of a response. */
  readonly hasBegun: boolean;
  /** Whether its response was complete. */
  readonly isAnswered: boolean;
  /** Whether it reached a target. */
  readonly isPassedOn: boolean;
  /** Whether its connection had carried another request before. */
  readonly isOnKeptConnection: boolean;
  /** Whether a target crashed or closed its connection while it had the request. */
  readonly isBrokenOff: boolean;
  /** Time that it has: the smaller of its deadline and its route's timeout, in milliseconds. */
  readonly timeoutMs: number;
  /** When targets worked on it. */
  readonly runs: readonly Span[];
  /** Unplanned disruptions of its host and targets, and of the store if they excuse its kind. */
  readonly unplanned: readonly Span[];
  /** Whatever takes its host out of touch: disruptions, SIGTERM and starts of the process. */
  readonly interruptions: readonly Span[];
}

/** Requests of a host that count as lost. */
export interface LostRequests<R extends SeenRequest> {
  /** Requests that were cut beside planned work, with the kind of work. */
  readonly besideWork: ReadonlyArray<{req: R; kind: WorkKind}>;
  /** Requests on kept connections that a host in touch passed on and cut. */
  readonly onKeptConnections: readonly R[];
}

/** Requests on kept connections that a host may cut. */
export const maxCutOnKeptConnections = 3;
/** Time after the grace period for which a SIGTERM still counts, in milliseconds. */
const afterGraceMs = 1000;
/** Time after SIGTERM until which a long request may be sent that is cut at the end of the grace period, in milliseconds. */
const lastLongRequestMs = 3000;
/** Share of the grace period after which a long request may be cut. */
const longRequestShare = 5 / 6;
/** Time after a configuration is in force for which it still counts, in milliseconds. */
const afterConfigurationMs = 1000;
/** Share of its time after which a request does not count beside a configuration. */
const usedShare = 0.7;
/** How many times as often as at other times a host may cut requests beside a configuration. */
const maxCutRatio = 3;

/** Whether a disruption lies between `contactMs` before the request and its end. */
export function isDisrupted(
  req: Pick<SeenRequest, 'sentMs' | 'endedMs'>,
  disruptions: readonly Span[],
  contactMs: number,
): boolean {
  return disruptions.some(
    ({fromMs, toMs}) => fromMs <= req.endedMs && toMs >= req.sentMs - contactMs,
  );
}

/** Whether a target was at work in the last sixth of the grace period on a request sent early after SIGTERM. */
function isCutAtEndOfGrace(
  {sentMs, endedMs, runs}: SeenRequest,
  {sigtermMs}: PlannedWork,
  {graceMs}: LostBounds,
): boolean {
  // An earlier SIGTERM stopped a process that ended before.
  const lastMs = Math.max(...sigtermMs.filter(atMs => atMs <= endedMs));
  return (
    sentMs <= lastMs + lastLongRequestMs &&
    runs.some(
      ({fromMs, toMs}) =>
        toMs >= lastMs + graceMs * longRequestShare &&
        fromMs <= lastMs + graceMs,
    )
  );
}

/** Whether a host cut a request for none of the reasons that excuse it beside planned work. */
function isCut(
  req: SeenRequest,
  work: PlannedWork,
  bounds: LostBounds,
): boolean {
  if (!req.isConnected || req.isAnswered || req.isBrokenOff) return false;
  const lastedMs = req.endedMs - req.sentMs;
  if (!req.isPassedOn && lastedMs <= bounds.lossSlackMs) return false;
  if (lastedMs >= req.timeoutMs) return false;
  if (isDisrupted(req, req.unplanned, bounds.contactMs)) return false;
  return !isCutAtEndOfGrace(req, work, bounds);
}

/** Whether a request was in progress while a change of the configuration counts. */
function isBesideConfiguration(
  {sentMs, endedMs}: SeenRequest,
  {configurations}: PlannedWork,
  {configApplyMs}: LostBounds,
): boolean {
  return configurations.some(
    ({fromMs, toMs}) =>
      endedMs >= fromMs &&
      sentMs <= toMs + configApplyMs + afterConfigurationMs,
  );
}

/**
 * Names the planned work beside which a host cut a request. Beside a configuration alone, whether the request is lost
 * depends on the host's other requests as well: see {@link findLost}.
 *
 * What a process had read is not seen from outside: a request on an established connection counts as read.
 *
 * @param req - A request.
 * @param work - Planned work on its host.
 * @param bounds - Bounds of the deployment.
 * @returns The kind of work; `undefined` if the request was not cut beside planned work, or if its end is excused.
 */
export function cutBeside(
  req: SeenRequest,
  work: PlannedWork,
  bounds: LostBounds,
): WorkKind | undefined {
  if (!isCut(req, work, bounds)) return undefined;
  const {sentMs, endedMs, timeoutMs} = req;
  const {graceMs, configApplyMs} = bounds;
  const isBeside = (atMs: number, forMs: number) =>
    endedMs >= atMs && sentMs <= atMs + forMs;
  if (work.sigtermMs.some(atMs => isBeside(atMs, graceMs + afterGraceMs))) {
    return 'sigtermMs';
  }
  if (work.sighupMs.some(atMs => isBeside(atMs, configApplyMs))) {
    return 'sighupMs';
  }
  const isNearlyOver = endedMs - sentMs >= timeoutMs * usedShare;
  return isBesideConfiguration(req, work, bounds) && !isNearlyOver
    ? 'configurations'
    : undefined;
}

/** Whether a host cuts requests over three times as often beside a configuration as at other times. */
function isCutMoreOften(
  requests: readonly SeenRequest[],
  work: PlannedWork,
  bounds: LostBounds,
): boolean {
  const beside = {all: 0, cut: 0};
  const otherwise = {all: 0, cut: 0};
  for (const req of requests) {
    const count = isBesideConfiguration(req, work, bounds) ? beside : otherwise;
    count.all++;
    const isNearlyOver = req.endedMs - req.sentMs >= req.timeoutMs * usedShare;
    if (isCut(req, work, bounds) && !isNearlyOver) count.cut++;
  }
  return (
    beside.cut * otherwise.all > maxCutRatio * otherwise.cut * beside.all ||
    (beside.cut > 0 && otherwise.all === 0)
  );
}

/**
 * Finds the requests of a host that count as lost.
 *
 * @param requests - All requests that the host's callers sent.
 * @param work - Planned work on the host.
 * @param bounds - Bounds of the deployment.
 * @returns The requests, by rule.
 */
export function findLost<R extends SeenRequest>(
  requests: readonly R[],
  work: PlannedWork,
  bounds: LostBounds,
): LostRequests<R> {
  const isOftenCut = isCutMoreOften(requests, work, bounds);
  const besideWork = requests.flatMap(req => {
    const kind = cutBeside(req, work, bounds);
    if (kind === undefined) return [];
    return kind === 'configurations' && !isOftenCut ? [] : [{req, kind}];
  });
  // A response that has begun can only be cut when the time of its request is over.
  const isOver = (req: R) =>
    req.hasBegun && req.endedMs - req.sentMs >= req.timeoutMs;
  const onKeptConnections = requests.filter(
    req =>
      !req.isAnswered &&
      !isOver(req) &&
      !req.isBrokenOff &&
      req.isPassedOn &&
      req.isOnKeptConnection &&
      !isDisrupted(req, req.interruptions, bounds.contactMs),
  );
  return {besideWork, onKeptConnections};
}
