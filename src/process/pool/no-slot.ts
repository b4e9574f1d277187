/** Why a request got no slot. */
export const noSlots = {
  /** No target that it may use has a free slot. */
  full: 'full',
  /** Only targets that it leaves to other requests for now have one, or that would hardly complete it in time. */
  unsuitable: 'unsuitable',
} as const;

/** One of {@link noSlots}. */
export type NoSlot = (typeof noSlots)[keyof typeof noSlots];
