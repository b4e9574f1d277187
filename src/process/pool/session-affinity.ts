import {LRUCache} from 'lru-cache';

/** Sessions remembered; 20,000 take some 3 MB. */
const maxSessions = 20_000;

/** Remembers which target read the prompt of a session last. */
export class SessionAffinity {
  private readonly targets = new LRUCache<string, string>({max: maxSessions});

  /**
   * @param session - Part of the prompt that belongs to the session.
   * @returns Id of the target, if it is remembered.
   */
  get(session: string): string | undefined {
    return this.targets.get(session);
  }

  /**
   * @param session - Part of the prompt that belongs to the session.
   * @param target - Id of the target that reads it.
   */
  set(session: string, target: string): void {
    this.targets.set(session, target);
  }
}
