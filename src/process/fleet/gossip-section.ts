/** Who sent a part of a message, and when. */
export interface SectionOrigin {
  readonly host: string;
  /** Availability zone of the host. */
  readonly zone: string;
  /** Unix time at which the host started, in milliseconds; identifies one run of its process. */
  readonly incarnation: number;
  /** Monotonic time of this host before which the message was not composed, in milliseconds; `-Infinity` if unknown. */
  readonly composedAtMs: number;
}

/**
 * A part of the gossip messages that one feature adds and reads. A feature that is not in use composes nothing, so that
 * its part takes no bytes.
 */
export abstract class GossipSection {
  /** Name of the part within messages; one or two letters, to save bytes. */
  abstract readonly name: string;

  /**
   * Builds the part that all hosts receive.
   *
   * @param _nowMs - Monotonic time, in milliseconds.
   * @returns JSON value, or `undefined` for nothing.
   */
  compose(_nowMs: number): unknown {
    return undefined;
  }

  /**
   * Builds the part that only one host receives.
   *
   * @param _recipient - Name of the host.
   * @param _nowMs - Monotonic time, in milliseconds.
   * @returns JSON value, or `undefined` for nothing.
   */
  composeFor(_recipient: string, _nowMs: number): unknown {
    return undefined;
  }

  /**
   * Reads the part that another host sends to all.
   *
   * @param value - Decoded JSON of unknown form; `undefined` if the message has no such part.
   * @param origin - Sender of the message.
   */
  abstract receive(value: unknown, origin: SectionOrigin): void;

  /**
   * Reads the part that another host sends to this one only.
   *
   * @param _value - Decoded JSON of unknown form.
   * @param _origin - Sender of the message.
   */
  receiveDirected(_value: unknown, _origin: SectionOrigin): void {}
}

/** Values of sections, by name. */
export type SectionValues = Readonly<Record<string, unknown>>;

/**
 * Builds the values of all sections.
 *
 * @param sections - Sections of this host.
 * @param compose - Builds the value of one section.
 * @returns The values, or `undefined` if there is none.
 */
export function composeSections(
  sections: readonly GossipSection[],
  compose: (section: GossipSection) => unknown,
): SectionValues | undefined {
  const entries = sections.flatMap(section => {
    const value = compose(section);
    return value === undefined ? [] : [[section.name, value] as const];
  });
  return entries.length > 0 ? Object.fromEntries(entries) : undefined;
}
