/** What is known of one zone's targets of a service and of the load that its callers offer. */
export interface ZoneFigures {
  readonly zone: string;
  /** Slots of its targets that take requests, weighted by their speed; 0 without such a target. */
  readonly capacity: number;
  /** Load that the callers of its hosts offer, in slots, before any request leaves the zone. */
  readonly offered: number;
  /** Share of the slots of its targets that are occupied. */
  readonly usage: number;
  /** Whether none of its hosts and targets was heard recently, although hosts of it are known. */
  readonly isCut: boolean;
}

/** How much of a zone's load leaves it, and where to. */
export interface TransferPlan {
  /** Share of the requests that may leave the zone. */
  readonly fraction: number;
  /** Share of the leaving requests by zone; the sum is 1, or 0 if none may leave. */
  readonly shares: ReadonlyMap<string, number>;
  /** Whether the zone has no target that takes requests. */
  readonly isHomeless: boolean;
}

/**
 * Shares of a zone's capacity: above the first, it begins to send the load beyond the second to zones that are below the
 * third. A zone between the last two neither sends nor receives, so that figures that differ a little between hosts do
 * not make two zones send to each other.
 */
export const beginShare = 0.9;
export const keptShare = 0.85;
export const roomShare = 0.8;
/** Usage of its slots from which a zone receives nothing. */
const fullUsage = 0.95;

/** Plan of a zone that keeps all requests. */
export const noTransfers: TransferPlan = {
  fraction: 0,
  shares: new Map(),
  isHomeless: false,
};

/**
 * Computes the load of a zone beyond what its own targets should carry.
 *
 * @param figures - Figures of the zone.
 * @returns Load in slots; 0 if there is none.
 */
export function excessOf({capacity, offered}: ZoneFigures): number {
  return Math.max(0, offered - keptShare * capacity);
}

/**
 * Computes the load that a zone can carry beside that of its own callers.
 *
 * @param figures - Figures of the zone.
 * @returns Load in slots; 0 if there is no room.
 */
export function roomOf({capacity, isCut, offered, usage}: ZoneFigures): number {
  if (isCut || usage >= fullUsage) return 0;
  return Math.max(0, roomShare * capacity - offered);
}

/**
 * Plans how much of a zone's load leaves it. All zones with too much load share the room of the others in proportion to
 * their excess, which every host computes from the same figures, so the room is not given away twice.
 *
 * @param home - Zone of this host.
 * @param zones - Figures of all zones that may be used, with the own one.
 */
export function planTransfers(
  home: string,
  zones: readonly ZoneFigures[],
): TransferPlan {
  const own = zones.find(({zone}) => zone === home);
  const others = zones.filter(
    ({zone, capacity, isCut}) => zone !== home && capacity > 0 && !isCut,
  );
  const isHomeless = !own || own.capacity <= 0;
  const excess = own ? excessOf(own) : 0;
  const rooms = others.map(figures => [figures.zone, roomOf(figures)] as const);
  const room = sumOf(rooms.map(([, slots]) => slots));
  if (isHomeless) {
    const capacities = others.map(
      ({zone, capacity}) => [zone, capacity] as const,
    );
    const shares = sharesOf(room > 0 ? rooms : capacities);
    return {fraction: shares.size > 0 ? 1 : 0, shares, isHomeless};
  }
  if (excess <= 0 || room <= 0) return noTransfers;
  const allExcess = sumOf(
    zones.filter(({isCut}) => !isCut).map(figures => excessOf(figures)),
  );
  const sent = excess * Math.min(1, room / Math.max(excess, allExcess));
  const fraction = sent / own.offered;
  return {fraction, shares: sharesOf(rooms), isHomeless};
}

function sumOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0);
}

function sharesOf(
  weights: ReadonlyArray<readonly [string, number]>,
): Map<string, number> {
  const sum = sumOf(weights.map(([, weight]) => weight));
  return new Map(
    weights
      .filter(([, weight]) => weight > 0)
      .map(([zone, weight]) => [zone, weight / sum]),
  );
}
