import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/**
 * Ranks hosts by rendezvous hashing: the first one owns the key, and the others succeed it in this
 * order. A host that joins or leaves moves only the keys that it owns.
 *
 * @param key - Key to assign, for example the name of a target group.
 * @param hosts - Ids of the live hosts.
 * @returns The ids, owner first.
 */
export function rankHosts(key: string, hosts: readonly string[]): string[] {
  return hosts
    .map(host => ({host, score: h64(`${key}\n${host}`)}))
    .sort((a, b) => {
      if (a.score !== b.score) return a.score > b.score ? -1 : 1;
      return a.host < b.host ? -1 : 1;
    })
    .map(({host}) => host);
}

/**
 * Finds the owner of a key.
 *
 * @param key - Key to assign.
 * @param hosts - Ids of the live hosts.
 * @returns Id of the owner, or `undefined` if there is no host.
 */
export function findOwner(
  key: string,
  hosts: readonly string[],
): string | undefined {
  return rankHosts(key, hosts)[0];
}
