/** Kinds of resources that operators declare. */
export const resourceKinds = {
  service: 'service',
  target: 'target',
  organisation: 'organisation',
  zone: 'zone',
  rollout: 'rollout',
} as const;

/** Value of {@link resourceKinds}. */
export type ResourceKind = (typeof resourceKinds)[keyof typeof resourceKinds];

/** Priority of a request; 0 is the top tier. */
export type Tier = 0 | 1 | 2 | 3;

/** Number of priority tiers. */
export const tierCount = 4;

/** How requests of one path of a plain service may be treated. */
export interface RouteSpec {
  /** Requests whose path below the service starts with this prefix; the longest match wins. */
  readonly pathPrefix: string;
  /** HTTP methods that the route covers; all if absent. */
  readonly methods?: readonly string[];
  /** Whether a request may be run again. */
  readonly idempotent: boolean;
}

/** What a set of interchangeable targets offers. */
export interface ServiceSpec {
  /** `model` for engines with the OpenAI form, `plain` for other HTTP services. */
  readonly type: 'model' | 'plain';
  /** Value of `model` in completion requests; the service's name if absent. */
  readonly model?: string;
  /** Version that takes all traffic outside a rollout. */
  readonly version: string;
  /** Deadline of a request without `Request-Timeout-Ms`, in milliseconds. */
  readonly defaultTimeoutMs: number;
  /** Wanted time to first token (or whole answer of a plain service), in milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Wanted time between tokens, in milliseconds. */
  readonly tokenTargetMs: number;
  /** Idempotence by path; GET, HEAD and OPTIONS are idempotent where no route matches. */
  readonly routes?: readonly RouteSpec[];
  /** Greatest number of waiting requests of each tier at a group owner. */
  readonly queueLimits?: readonly number[];
}

/** One engine or service instance. */
export interface TargetSpec {
  /** Name of the service that the target offers. */
  readonly service: string;
  /** Availability zone in which it runs. */
  readonly zone: string;
  /** Base URL, for example `http://127.0.0.1:9001`. */
  readonly address: string;
  /** Version that it runs. */
  readonly version: string;
  /** Hardware generation, for information and for estimates. */
  readonly hardware?: string;
  /** Upper bound of requests in flight. */
  readonly maxConcurrency: number;
  /** Requests in flight that a cold target can handle. */
  readonly coldConcurrency?: number;
  /** Whether the target refuses orders with an old fencing number. */
  readonly checksFencing?: boolean;
  /** `leaving` targets finish their work and get no more. */
  readonly state?: 'active' | 'leaving';
}

/** A caller's key; the key itself is never stored. */
export interface OrganisationKey {
  /** Name of the key in logs and metrics. */
  readonly id: string;
  /** SHA-256 digest of the key, 64 hexadecimal digits. */
  readonly sha256: string;
  /** Tier of the requests sent with this key. */
  readonly tier: Tier;
}

/** Who calls, and what they may use. */
export interface OrganisationSpec {
  /** Keys of the organisation. */
  readonly keys: readonly OrganisationKey[];
  /** Share of a tier relative to other organisations. */
  readonly weight: number;
  /** Limits over the whole fleet. */
  readonly limits?: {
    /** Requests per second. */
    readonly requestsPerSecond?: number;
    /** Requests in flight. */
    readonly concurrency?: number;
  };
}

/** A set of hosts and targets that operators take out and bring back together. */
export interface ZoneSpec {
  /** Region to which it belongs. */
  readonly region: string;
  /** `out` zones get no new work. */
  readonly state: 'in' | 'out';
}

/** The replacement of a service's version by a deadline. */
export interface RolloutSpec {
  /** Service whose version is replaced. */
  readonly service: string;
  /** New version. */
  readonly version: string;
  /** Time by which the rollout is completed or taken back, RFC 3339. */
  readonly deadline: string;
  /** `surge` starts new targets first; `in-place` orders existing targets to load the version. */
  readonly strategy: 'surge' | 'in-place';
  /** Greatest share of requests before there is evidence, at most 0.05. */
  readonly canaryShare: number;
  /** Greatest number of requests in flight before there is evidence, over all hosts. */
  readonly canaryInFlight: number;
  /** Time after completion in which late faults bring the old version back, in seconds. */
  readonly watchPeriodSeconds: number;
  /** Operator's control of the rollout. */
  readonly control: 'run' | 'pause' | 'take-back' | 'force-forward';
  /** What happens if another rollout of the service is in progress. */
  readonly onConflict: 'refuse' | 'queue' | 'supersede';
}

/** Spec type of each kind. */
export interface ResourceSpecs {
  service: ServiceSpec;
  target: TargetSpec;
  organisation: OrganisationSpec;
  zone: ZoneSpec;
  rollout: RolloutSpec;
}

/** A declared resource as it stands in the folded configuration. */
export interface Resource<K extends ResourceKind = ResourceKind> {
  readonly kind: K;
  readonly name: string;
  /** Number of accepted writes since the resource was created, starting at 1. */
  readonly generation: number;
  readonly spec: ResourceSpecs[K];
  /** Operator who wrote this generation. */
  readonly writtenBy: string;
  /** Time of the write at the writing host, RFC 3339. */
  readonly writtenAt: string;
  /** Log offset of the write. */
  readonly offset: number;
}
