/** Recognizes a request, or a part of its prompt, when it comes again with another id or at another host. */
export interface Fingerprint {
  /** Equal for equal content on every host. */
  readonly id: string;
  /**
   * Orders the fingerprints of one request: fewer requests share one that is more specific. If two of them explain
   * the same crashes, the more specific one is the cause.
   */
  readonly specificity: number;
}
