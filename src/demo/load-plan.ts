import type {Random} from '../../stand-ins/seeded-random.js';
import type {Tier} from '../version/resources/kinds.js';
import type {Example, ExampleKey} from './example.js';

/** One request of the demo. */
export interface PlannedRequest {
  /** Time at which it is sent, in milliseconds after the start. */
  readonly atMs: number;
  /** Index of the host that receives it. */
  readonly host: number;
  readonly tier: Tier;
  readonly token: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Path at the target. */
  readonly targetPath: string;
  readonly body: string;
  /** Value of `Idempotency-Key`, for requests that must not run twice. */
  readonly key?: string;
  /** Whether it repeats an earlier request with the same key. */
  readonly resent: boolean;
  /** Whether the answer is a stream of tokens. */
  readonly streamed: boolean;
  readonly timeoutMs: number;
}

/** Host through which a keyed request is sent again. */
export type ResendTo = 'same' | 'other';

/** Size of the load. */
export interface LoadOptions {
  /** Duration of the load, in seconds. */
  readonly seconds: number;
  readonly requestsPerSecond: number;
  /** Share of keyed requests that are sent again with the same key. */
  readonly resendShare: number;
  /** Whether they are sent again through the same host or another one. */
  readonly resendTo: ResendTo;
}

/** Time limit and answer length by tier; the last tier is long work without haste. */
const tiers = [
  {timeoutMs: 6000, tokens: [20, 60], promptChars: 1200},
  {timeoutMs: 10_000, tokens: [40, 120], promptChars: 2400},
  {timeoutMs: 10_000, tokens: [10, 40], promptChars: 800},
  {timeoutMs: 30_000, tokens: [100, 200], promptChars: 8000},
] as const;

/** Shares of the kinds of request. */
const plainShare = 0.3;
const keyedShare = 0.5;
const streamedShare = 0.6;
/** Time between a keyed request and its repetition, at most, in milliseconds. */
const maxResendDelayMs = 600;
/** Number of prompt beginnings that requests share, so that prefix caches have something to do. */
const sharedPrompts = 6;

/**
 * Plans the demo's load: all tiers of the example, streamed and whole completions, plain requests
 * that may be repeated and keyed ones that may not, some of them sent again.
 *
 * @param example - Example whose services and keys are used.
 * @param options - Size of the load.
 * @param random - Source of random numbers.
 * @returns Requests in the order of their time.
 */
export function planLoad(
  example: Example,
  options: LoadOptions,
  random: Random,
): PlannedRequest[] {
  const planner = new Planner(example, random);
  const count = Math.round(options.seconds * options.requestsPerSecond);
  const plan: PlannedRequest[] = [];
  for (let i = 0; i < count; i++) {
    const atMs = random() * options.seconds * 1000;
    const req = planner.next(i, atMs);
    plan.push(req);
    if (req.key !== undefined && random() < options.resendShare) {
      plan.push({
        ...req,
        atMs: atMs + random() * maxResendDelayMs,
        host:
          options.resendTo === 'same'
            ? req.host
            : (req.host + 1) % example.hosts.length,
        resent: true,
      });
    }
  }
  return plan.sort((a, b) => a.atMs - b.atMs);
}

/** Draws requests for the services of one example. */
class Planner {
  private readonly model: string;
  private readonly plainService: string;
  private readonly onceRoute: string;
  private readonly repeatableRoute: string;

  constructor(
    private readonly example: Example,
    private readonly random: Random,
  ) {
    const services = example.resources.flatMap(resource =>
      resource.kind === 'service' ? [resource] : [],
    );
    const engine = services.find(({spec}) => spec.type === 'model');
    const plain = services.find(({spec}) => spec.type === 'plain');
    const routes = plain?.spec.routes ?? [];
    const prefix = (idempotent: boolean) =>
      routes.find(route => route.idempotent === idempotent)?.pathPrefix ?? '/';
    this.model = engine?.spec.model ?? engine?.name ?? '';
    this.plainService = plain?.name ?? '';
    this.onceRoute = prefix(false);
    this.repeatableRoute = prefix(true);
  }

  next(index: number, atMs: number): PlannedRequest {
    const {random} = this;
    const {tier, token} = this.pick(this.example.keys) as ExampleKey;
    const common = {
      atMs,
      host: Math.floor(random() * this.example.hosts.length),
      tier,
      token,
      resent: false,
      streamed: false,
      timeoutMs: tiers[tier].timeoutMs,
    };
    if (random() >= plainShare) {
      const streamed = random() < streamedShare;
      const body = this.completion(index, tier, streamed);
      const path = '/v1/chat/completions';
      return {
        ...common,
        method: 'POST',
        path,
        targetPath: path,
        body,
        streamed,
      };
    }
    if (random() < keyedShare) {
      const targetPath = this.onceRoute;
      return {
        ...common,
        method: 'POST',
        path: `/services/${this.plainService}${targetPath}`,
        targetPath,
        body: JSON.stringify({number: index}),
        key: createUuidV7(Date.now(), random),
      };
    }
    const targetPath = `${this.repeatableRoute}?number=${index}`;
    return {
      ...common,
      method: 'GET',
      path: `/services/${this.plainService}${targetPath}`,
      targetPath,
      body: '',
    };
  }

  private completion(index: number, tier: Tier, stream: boolean): string {
    const {tokens, promptChars} = tiers[tier];
    const [least, most] = tokens;
    const shared = `Instruction ${Math.floor(this.random() * sharedPrompts)}. `;
    const start = shared.repeat(Math.ceil(promptChars / shared.length));
    return JSON.stringify({
      model: this.model,
      stream,
      max_tokens: Math.floor(least + this.random() * (most - least + 1)),
      messages: [{role: 'user', content: `${start}Request ${index}.`}],
    });
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)];
  }
}

/**
 * Creates a UUID of version 7, whose time lets a host tell how old a key is.
 *
 * @param wallMs - Time since the Unix epoch, in milliseconds.
 * @param random - Source of random numbers.
 * @returns The UUID.
 */
export function createUuidV7(wallMs: number, random: Random): string {
  const digits = (count: number) =>
    Array.from({length: count}, () =>
      Math.floor(random() * 16).toString(16),
    ).join('');
  const time = Math.floor(wallMs).toString(16).padStart(12, '0');
  const variant = (8 + Math.floor(random() * 4)).toString(16);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${digits(3)}-${variant}${digits(3)}-${digits(12)}`;
}
