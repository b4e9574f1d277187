import {Sketch} from './sketch.js';

/** Length of a time bucket, in milliseconds of wall time. */
export const bucketMs = 5000;
/** Number of buckets that are kept; the tests already include older ones. */
export const retainedBuckets = 24;
/** Routes of a service that are counted separately; the others are counted as one route. */
const maxRoutes = 32;
/** Maximum number of summed cells; about 1 KB each with two sketches. */
const maxCells = 8192;
/** Maximum number of stops that are kept. */
const maxStops = 64;
/** Time after the start of a target in which its latency is not counted, in milliseconds. */
export const warmUpMs = 20_000;
/**
 * Number of starts of one target whose warm-up is excluded. A target that restarts repeatedly is
 * slow because of its version, so its latency is counted after later starts.
 */
const excludedStarts = 2;

/** One finished attempt. */
export interface EvidenceSample {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly zone: string;
  readonly target: string;
  /** Increases with each start of the target. */
  readonly targetEpoch: number;
  /** Attempts that were not started, were refused as busy or were cancelled are not recorded. */
  readonly result: 'ok' | 'failed' | 'crashed';
  /** Whether the request itself is suspected of crashing targets; its crashes are not counted. */
  readonly suspect?: boolean;
  /** Time to first token, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Mean time per token after the first, in milliseconds. */
  readonly tokenMs?: number;
  /** Hardware speed relative to the other targets of the service; latency is multiplied by it. */
  readonly speed?: number;
}

/** Counts of one version on one route in one zone and time bucket. */
export interface Cell {
  requests: number;
  failures: number;
  readonly firstToken: Sketch;
  readonly token: Sketch;
}

/** Cumulative counts of a cell as hosts exchange them. */
export interface ExportedCell {
  readonly key: string;
  readonly requests: number;
  readonly failures: number;
  /** Sketches as pairs of bucket and count. */
  readonly firstToken: readonly (readonly [number, number])[];
  readonly token: readonly (readonly [number, number])[];
}

/** Sufficient evidence of harm. */
export interface StopVerdict {
  readonly metric: string;
  /** `overall`, `route:NAME` or `zone:NAME`. */
  readonly stratum: string;
  /** Natural logarithm of the evidence. */
  readonly logEvidence: number;
  /** Threshold that was reached, as a natural logarithm. */
  readonly needed: number;
  /** Wall time of the verdict, in milliseconds. */
  readonly atMs: number;
}

/** Start of a target as observed from requests. */
export interface TargetStart {
  readonly epoch: number;
  /** Number of starts seen. */
  readonly count: number;
  /** Wall time of the first request that was seen, in milliseconds. */
  readonly atMs: number;
}

/** Counters of one host. They only increase, so a later export replaces an earlier one. */
export interface EvidenceExport {
  /** Name and incarnation of the host. */
  readonly origin: string;
  readonly cells: readonly ExportedCell[];
  /** Recent starts of targets, by target and version. */
  readonly starts: readonly (readonly [string, TargetStart])[];
  /** Stops by service, old and new version. */
  readonly stops: readonly (readonly [string, StopVerdict])[];
}

/** Key of a cell. */
export interface CellKey {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly zone: string;
  readonly bucket: number;
}

/**
 * Counters of this host and of its peers. `merge` tracks the counters of each origin separately, so
 * that a duplicate or late export is counted once.
 */
export class EvidenceStore {
  private readonly local = new Map<string, Cell & {place: CellKey}>();
  private readonly peers = new Map<string, Map<string, ExportedCell>>();
  /** Cells summed over all hosts. */
  private readonly sums = new Map<string, Cell & {place: CellKey}>();
  private readonly byBucket = new Map<string, Set<string>>();
  private readonly routes = new Map<string, Set<string>>();
  private readonly starts = new Map<string, TargetStart>();
  private readonly lastCrash = new Map<string, number>();

  private readonly stops = new Map<string, StopVerdict>();

  /** Number of samples and cells of peers that were dropped because the store was full. */
  dropped = 0;

  /** @param origin - Name and incarnation of this host; a restarted host counts from 0 again. */
  constructor(readonly origin: string) {}

  /** Number of summed cells. */
  get size(): number {
    return this.sums.size;
  }

  /**
   * Counts a finished attempt. Crashes of one target within one second count once, because a crash
   * fails all requests that were running there.
   *
   * @param sample - Result and latency of the attempt.
   * @param wallMs - Wall time, in milliseconds.
   */
  record(sample: EvidenceSample, wallMs: number): void {
    const warm = this.isWarm(sample, wallMs);
    if (sample.result === 'crashed') {
      if (sample.suspect) return;
      const last = this.lastCrash.get(sample.target) ?? -Infinity;
      if (wallMs - last < 1000) return;
      if (this.lastCrash.size > maxCells) this.lastCrash.clear();
      this.lastCrash.set(sample.target, wallMs);
    }
    const key = encodeKey({
      ...sample,
      route: this.knownRoute(sample.service, sample.route),
      bucket: Math.floor(wallMs / bucketMs),
    });
    const sum = this.sumCell(key);
    if (!sum) {
      this.dropped++;
      return;
    }
    const local = this.local.get(key) ?? {...newCell(), place: sum.place};
    this.local.set(key, local);
    const speed = sample.speed ?? 1;
    for (const cell of [local, sum]) {
      cell.requests++;
      if (sample.result !== 'ok') cell.failures++;
      if (!warm) continue;
      if (sample.firstTokenMs !== undefined)
        cell.firstToken.add(Sketch.indexOf(sample.firstTokenMs * speed));
      if (sample.tokenMs !== undefined)
        cell.token.add(Sketch.indexOf(sample.tokenMs * speed));
    }
  }

  /**
   * Exports the counters of this host for its peers.
   *
   * @param fromBucket - Oldest bucket to include.
   * @returns Local counters, recent starts and known stops.
   */
  export(fromBucket = 0): EvidenceExport {
    const cells: ExportedCell[] = [];
    for (const [key, cell] of this.local) {
      if (cell.place.bucket < fromBucket) continue;
      cells.push({
        key,
        requests: cell.requests,
        failures: cell.failures,
        firstToken: cell.firstToken.entries(),
        token: cell.token.entries(),
      });
    }
    const starts = [...this.starts].filter(
      ([, {atMs}]) => atMs >= fromBucket * bucketMs,
    );
    return {origin: this.origin, cells, starts, stops: [...this.stops]};
  }

  /**
   * Merges the counters of a peer; duplicate and older exports have no effect.
   *
   * @param other - Export of the peer.
   */
  merge(other: EvidenceExport): void {
    if (other.origin === this.origin) return;
    for (const [key, start] of other.starts) this.mergeStart(key, start);
    for (const [comparison, stop] of other.stops)
      this.recordStop(comparison, stop);
    const known =
      this.peers.get(other.origin) ?? new Map<string, ExportedCell>();
    this.peers.set(other.origin, known);
    for (const cell of other.cells) {
      const before = known.get(cell.key);
      if (before && before.requests >= cell.requests) continue;
      const sum = this.sumCell(cell.key);
      if (!sum) {
        this.dropped++;
        continue;
      }
      known.set(cell.key, cell);
      sum.requests += cell.requests - (before?.requests ?? 0);
      sum.failures += cell.failures - (before?.failures ?? 0);
      addDifference(sum.firstToken, cell.firstToken, before?.firstToken);
      addDifference(sum.token, cell.token, before?.token);
    }
  }

  /**
   * Records a stop, so that the other hosts stop as well: hosts see the counters at different times,
   * and evidence close to the threshold would stop a version on some hosts only.
   *
   * @param comparison - Service, old and new version, as a JSON array.
   * @param stop - Evidence that caused the stop.
   */
  recordStop(comparison: string, stop: StopVerdict): void {
    if (this.stops.has(comparison)) return;
    this.stops.set(comparison, stop);
    if (this.stops.size > maxStops)
      this.stops.delete(this.stops.keys().next().value as string);
  }

  /**
   * Finds a stop that this host or a peer has recorded.
   *
   * @param comparison - Service, old and new version, as a JSON array.
   * @returns The stop, or `undefined` if there is none.
   */
  stopOf(comparison: string): StopVerdict | undefined {
    return this.stops.get(comparison);
  }

  /**
   * Lists the summed cells of one service and bucket.
   *
   * @param service - Service.
   * @param bucket - Time bucket.
   * @returns Cells with their keys in `place`.
   */
  cells(service: string, bucket: number): (Cell & {place: CellKey})[] {
    const keys = this.byBucket.get(`${service}\n${bucket}`) ?? [];
    return [...keys].map(key => this.sums.get(key)!);
  }

  /**
   * Drops buckets beyond the {@link retainedBuckets} and starts older than a day.
   *
   * @param wallMs - Wall time, in milliseconds.
   */
  expire(wallMs: number): void {
    const oldest = Math.floor(wallMs / bucketMs) - retainedBuckets;
    for (const [key, {place}] of this.sums) {
      if (place.bucket >= oldest) continue;
      this.sums.delete(key);
      this.local.delete(key);
      for (const [origin, known] of this.peers) {
        known.delete(key);
        if (known.size === 0) this.peers.delete(origin);
      }
      this.byBucket.delete(`${place.service}\n${place.bucket}`);
    }
    for (const [target, start] of this.starts) {
      if (wallMs - start.atMs > 86_400_000) this.starts.delete(target);
    }
  }

  private sumCell(key: string): (Cell & {place: CellKey}) | undefined {
    const found = this.sums.get(key);
    if (found) return found;
    if (this.sums.size >= maxCells) return undefined;
    const place = decodeKey(key);
    const cell = {...newCell(), place};
    this.sums.set(key, cell);
    const group = `${place.service}\n${place.bucket}`;
    const keys = this.byBucket.get(group) ?? new Set();
    this.byBucket.set(group, keys.add(key));
    return cell;
  }

  /** Maps routes beyond the maximum to `other`. */
  private knownRoute(service: string, route: string): string {
    const routes = this.routes.get(service) ?? new Set();
    this.routes.set(service, routes);
    if (routes.has(route)) return route;
    if (routes.size >= maxRoutes) return 'other';
    routes.add(route);
    return route;
  }

  /** Warm-up begins with the earliest request that any host has seen. */
  private mergeStart(key: string, start: TargetStart): void {
    const known = this.starts.get(key);
    const newer = !known || start.epoch > known.epoch;
    const earlier = known?.epoch === start.epoch && start.atMs < known.atMs;
    if (!newer && !earlier) return;
    const count = Math.max(start.count, known?.count ?? 0);
    this.starts.set(key, {...start, count});
  }

  /** Tracks starts of targets; false while the warm-up of a start is excluded. */
  private isWarm(sample: EvidenceSample, wallMs: number): boolean {
    const key = `${sample.target}\n${sample.version}`;
    const start = this.starts.get(key);
    if (!start || start.epoch < sample.targetEpoch) {
      const count = (start?.count ?? 0) + 1;
      this.starts.set(key, {epoch: sample.targetEpoch, count, atMs: wallMs});
      return count > excludedStarts;
    }
    return start.count > excludedStarts || wallMs - start.atMs >= warmUpMs;
  }
}

function newCell(): Cell {
  return {
    requests: 0,
    failures: 0,
    firstToken: new Sketch(),
    token: new Sketch(),
  };
}

function encodeKey(place: CellKey): string {
  const {service, version, route, zone, bucket} = place;
  return JSON.stringify([service, version, route, zone, bucket]);
}

function decodeKey(key: string): CellKey {
  const [service, version, route, zone, bucket] = JSON.parse(key) as [
    string,
    string,
    string,
    string,
    number,
  ];
  return {service, version, route, zone, bucket};
}

/** Adds the counts of a peer that are new since its previous export. */
function addDifference(
  sum: Sketch,
  now: ExportedCell['token'],
  before: ExportedCell['token'] = [],
): void {
  const old = new Map(before.map(([index, count]) => [index, count]));
  for (const [index, count] of now) {
    const added = count - (old.get(index) ?? 0);
    if (added > 0) sum.add(index, added);
  }
}
