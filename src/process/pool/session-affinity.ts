import {LRUCache} from 'lru-cache';

/** Maximum number of cached sessions; 20,000 take some 3 MB. */
const maxSessions = 20_000;

/** Cache of the target that last processed the prompt of each session. */
export class SessionAffinity {
  private readonly targets = new LRUCache<string, string>({max: maxSessions});

  /**
   * @param session - Id of the prompt part that belongs to the session.
   * @returns Id of the target, or `undefined` if the session is not cached.
   */
  get(session: string): string | undefined {
    return this.targets.get(session);
  }

  /**
   * @param session - Id of the prompt part that belongs to the session.
   * @param target - Id of the target that processes it.
   */
  set(session: string, target: string): void {
    this.targets.set(session, target);
  }
}
