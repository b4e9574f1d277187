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

/** Whether requests to paths of a plain service are idempotent. */
export interface RouteSpec {
  /** Requests whose path below the service starts with this prefix; the longest match wins. */
  readonly pathPrefix: string;
  /** HTTP methods that the route covers; all if absent. */
  readonly methods?: readonly string[];
  /** Whether a request may run more than once, so that it can be retried. */
  readonly idempotent: boolean;
}

/** A service, offered by a set of interchangeable targets. */
export interface ServiceSpec {
  /** `model` for engines with an OpenAI-compatible API, `plain` for other HTTP services. */
  readonly type: 'model' | 'plain';
  /** Value of `model` in completion requests; the service's name if absent. */
  readonly model?: string;
  /** Version that gets all traffic outside a rollout. */
  readonly version: string;
  /** Deadline of a request without `Request-Timeout-Ms`, in milliseconds. */
  readonly defaultTimeoutMs: number;
  /** Target time to first token, or to the complete response of a plain service, in milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Target time between tokens, in milliseconds. */
  readonly tokenTargetMs: number;
  /** Idempotence by path; GET, HEAD and OPTIONS are idempotent where no route matches. */
  readonly routes?: readonly RouteSpec[];
  /** Maximum number of queued requests at a group owner, by tier. */
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
  /** Hardware generation, shown to operators and used for estimates. */
  readonly hardware?: string;
  /** Maximum number of requests in flight. */
  readonly maxConcurrency: number;
  /** Requests in flight that a cold target can handle. */
  readonly coldConcurrency?: number;
  /** Whether the target rejects orders with an outdated fencing number. */
  readonly checksFencing?: boolean;
  /** A `leaving` target finishes its requests and gets no new ones. */
  readonly state?: 'active' | 'leaving';
}

/** API key of a caller; only its digest is stored. */
export interface OrganisationKey {
  /** Name of the key in logs and metrics. */
  readonly id: string;
  /** SHA-256 digest of the key, 64 hexadecimal digits. */
  readonly sha256: string;
  /** Tier of the requests sent with this key. */
  readonly tier: Tier;
}

/** An organisation: its keys, its share and its limits. */
export interface OrganisationSpec {
  /** Keys of the organisation. */
  readonly keys: readonly OrganisationKey[];
  /** Weight of its share within a tier, relative to other organisations. */
  readonly weight: number;
  /** Limits over the whole fleet. */
  readonly limits?: {
    /** Requests per second. */
    readonly requestsPerSecond?: number;
    /** Requests in flight. */
    readonly concurrency?: number;
  };
}

/** An availability zone: hosts and targets that operators take out and bring back together. */
export interface ZoneSpec {
  /** Region to which it belongs. */
  readonly region: string;
  /** `out` zones get no new work. */
  readonly state: 'in' | 'out';
}

/** Replacement of the version of a service, with a deadline. */
export interface RolloutSpec {
  /** Service whose version is replaced. */
  readonly service: string;
  /** New version. */
  readonly version: string;
  /** Time by which the rollout is completed or rolled back, RFC 3339. */
  readonly deadline: string;
  /** `surge` starts new targets first; `in-place` orders existing targets to load the version. */
  readonly strategy: 'surge' | 'in-place';
  /** Maximum request share of the new version before there is evidence, at most 0.05. */
  readonly canaryShare: number;
  /** Maximum requests in flight at the new version before there is evidence, over all hosts. */
  readonly canaryInFlight: number;
  /** Time after completion in which late failures still cause a rollback, in seconds. */
  readonly watchPeriodSeconds: number;
  /** Control of the rollout by an operator. */
  readonly control: 'run' | 'pause' | 'take-back' | 'force-forward';
  /** Behaviour while another rollout of the service is in progress. */
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

/** A declared resource in the folded configuration. */
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
