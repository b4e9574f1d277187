/** Requests that may leave at once after many that could have left but stayed, and that left beyond the plan. */
const maxCredit = 2;

/** Lets an exact fraction of the requests leave a zone, spread evenly, and divides them exactly among other zones. */
export class LeaveCounter {
  private credit = 0;
  private readonly zoneCredits = new Map<string, number>();

  /**
   * Checks whether the next request may leave.
   *
   * @param fraction - Share of the requests that may leave.
   */
  mayLeave(fraction: number): boolean {
    // The sum of many fractions may be a little below a whole number.
    return fraction > 0 && this.credit + fraction >= 1 - 1e-9;
  }

  /**
   * Lists the zones for a request that leaves, the next one in turn first.
   *
   * @param shares - Share of each zone.
   */
  turns(shares: ReadonlyMap<string, number>): string[] {
    const due = (zone: string) =>
      (this.zoneCredits.get(zone) ?? 0) + (shares.get(zone) ?? 0);
    return [...shares.keys()].sort((a, b) => due(b) - due(a));
  }

  /**
   * Counts a request that was placed.
   *
   * @param fraction - Share of the requests that may leave.
   * @param shares - Share of each other zone.
   * @param zone - Zone to which it left; absent if it stayed.
   */
  placed(
    fraction: number,
    shares: ReadonlyMap<string, number>,
    zone?: string,
  ): void {
    const spent = zone === undefined ? 0 : 1;
    const credit = this.credit + fraction - spent;
    this.credit = Math.min(maxCredit, Math.max(-maxCredit, credit));
    if (zone === undefined) return;
    for (const name of this.zoneCredits.keys()) {
      if (!shares.has(name)) this.zoneCredits.delete(name);
    }
    for (const [name, share] of shares) {
      const due = (this.zoneCredits.get(name) ?? 0) + share;
      const left = due - (name === zone ? 1 : 0);
      const bounded = Math.min(maxCredit, Math.max(-maxCredit, left));
      this.zoneCredits.set(name, bounded);
    }
  }
}
