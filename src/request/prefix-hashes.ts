import createXxHash from 'xxhash-wasm';

/** Size of a prefix block, in characters. */
export const prefixBlockChars = 256;
/** Maximum number of prefixes that are hashed per prompt. */
export const maxPrefixes = 16;

/** Hashes the prefixes of a prompt at block boundaries. */
export type PrefixHasher = (scope: string, prompt: string) => string[];

/**
 * Loads the WebAssembly hash function.
 *
 * @returns A function from a scope (name of the service) and a prompt to the hashes of the prompt's
 *   prefixes at block boundaries, shortest first; each hash covers its whole prefix.
 */
export async function loadPrefixHasher(): Promise<PrefixHasher> {
  const {h64} = await createXxHash();
  return (scope, prompt) => {
    const count = Math.min(
      maxPrefixes,
      Math.floor(prompt.length / prefixBlockChars),
    );
    const hashes: string[] = [];
    let hash = h64(scope);
    for (let i = 0; i < count; i++) {
      const start = i * prefixBlockChars;
      // Seeding with the previous hash makes each hash depend on all earlier blocks.
      hash = h64(prompt.slice(start, start + prefixBlockChars), hash);
      hashes.push(hash.toString(16).padStart(16, '0'));
    }
    return hashes;
  };
}
