/** Kinds of orders that engines take. */
export const engineOrders = [
  'load-model',
  'load-adapter',
  'load-version',
  'set-role',
] as const;

/** Order to an engine. */
export interface EngineOrderBody {
  readonly fencing: number;
  readonly order: (typeof engineOrders)[number];
  /** Name of the model, adapter, version or role. */
  readonly value: string;
}

/** State of an engine's orders, the answer to `GET /orders`. */
export interface EngineOrderState {
  /** Greatest fencing number seen. */
  readonly fencing: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
  /** Order that is being carried out. */
  readonly loading?: EngineOrderBody;
}

/** What became of an order. */
export type OrderOutcome =
  | {kind: 'accepted'}
  | {kind: 'old-fencing'; newest: number}
  | {kind: 'loading'; retryAfterMs: number}
  | {kind: 'malformed'};

/** Orders of one engine: fencing, and one load at a time that takes a while. */
export class EngineOrders {
  /** Accepted orders, in order. */
  readonly accepted: EngineOrderBody[] = [];
  private current: EngineOrderState;
  private loadedAtMs = 0;

  /**
   * @param options - `checksFencing`: refuse old fencing numbers; `loadMs`: duration of a load.
   */
  constructor(
    private readonly options: {
      readonly checksFencing: boolean;
      readonly loadMs: number;
      readonly model: string;
      readonly version: string;
    },
  ) {
    this.current = {
      fencing: 0,
      model: options.model,
      version: options.version,
      adapters: [],
      role: 'serve',
    };
  }

  /** Present state. */
  get state(): EngineOrderState {
    return this.current;
  }

  /** Time at which the running load ends, if there is one. */
  get dueMs(): number | undefined {
    return this.current.loading ? this.loadedAtMs : undefined;
  }

  /** Takes an order or refuses it. */
  submit(body: EngineOrderBody, nowMs: number): OrderOutcome {
    const {fencing, order, value} = body;
    if (
      !Number.isInteger(fencing) ||
      !engineOrders.includes(order) ||
      typeof value !== 'string'
    ) {
      return {kind: 'malformed'};
    }
    const newest = this.current.fencing;
    if (this.options.checksFencing && fencing < newest) {
      return {kind: 'old-fencing', newest};
    }
    if (this.current.loading) {
      return {kind: 'loading', retryAfterMs: this.loadedAtMs - nowMs};
    }
    this.accepted.push(body);
    this.current = {...this.current, fencing: Math.max(fencing, newest)};
    if (order === 'set-role') {
      this.current = {...this.current, role: value};
    } else {
      this.current = {...this.current, loading: body};
      this.loadedAtMs = nowMs + this.options.loadMs;
    }
    return {kind: 'accepted'};
  }

  /** Ends the load that is due; returns it. */
  finishLoad(nowMs: number): EngineOrderBody | undefined {
    const {loading, ...state} = this.current;
    if (!loading || nowMs < this.loadedAtMs) return undefined;
    const {order, value} = loading;
    if (order === 'load-model') this.current = {...state, model: value};
    else if (order === 'load-version')
      this.current = {...state, version: value};
    else this.current = {...state, adapters: [...state.adapters, value]};
    return loading;
  }
}
