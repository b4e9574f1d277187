import type {PermitTransport} from '../../connection/peer/permit-transport.js';
import type {Grant} from '../../request/dispatcher.js';
import type {QueuedRequest, VersionCap} from '../../request/scheduler/types.js';
import type {ConfigState} from '../../version/config-state.js';
import {every, type Cancel, type Clock} from '../clock.js';
import {FailureError} from '../errors/catalogue.js';
import type {MemberView} from '../member-view.js';
import {rankHosts} from '../ownership.js';
import {subscribe} from '../subject.js';
import {CapacityTable} from './capacity-table.js';
import {GroupFollower} from './group-follower.js';
import {listGroups, parseGroup} from './group-names.js';
import {toTargetView} from './group-targets.js';
import type {GroupMessage} from './group-messages.js';
import {GroupTask} from './group-task.js';
import {
  idleGroupTimeoutMs,
  maxOwnedGroups,
  pauseThresholdMs,
  tickMs,
} from './permit-limits.js';
import type {FollowerMessage, OwnerMessage} from './permit-messages.js';
import {PermitLinks} from './permit-links.js';
import type {SchedulerCore} from './scheduler-core.js';
import {ZoneRoster} from './zone-roster.js';

/** Dependencies and callbacks of a {@link PermitManager}. */
export interface PermitManagerParts {
  readonly clock: Clock;
  readonly members: MemberView;
  readonly transport: PermitTransport;
  readonly config: () => ConfigState;
  readonly createCore: (group: string) => SchedulerCore;
  /** First serial of this process; random, so that a restarted host doesn't reuse serials. */
  readonly firstSerial: number;
  /** Called when this host becomes the owner of a group or stops being it. */
  readonly onOwned?: (group: string, owned: boolean) => void;
  /** Called when this host releases its groups because it was paused. */
  readonly onPaused?: (gapMs: number) => void;
  /** Called when a link ended, with the other host and the reason. */
  readonly onLinkEnded?: (host: string, reason: string) => void;
}

/** Manages the groups that this host owns and follows, and its permit links to other hosts. */
export class PermitManager {
  /** Last reported free slots of the followed groups. */
  readonly capacity = new CapacityTable();

  private readonly tasks = new Map<string, GroupTask>();
  private readonly followers = new Map<string, GroupFollower>();
  private readonly links: PermitLinks;
  /** Group of each ref that a follower chose, by host and ref. */
  private readonly groupOfFollowerRef = new Map<string, Map<number, string>>();
  /** Group of each ref that this host chose as a follower. */
  private readonly groupOfLocalRef = new Map<number, string>();
  private readonly refsOfGroup = new Map<string, number[]>();
  private readonly roster: ZoneRoster;
  private serial: number;
  private ref = 0;
  private lastTickMs: number;
  private versionCaps: ReadonlyMap<string, readonly VersionCap[]> = new Map();
  private readonly cancels: Cancel[] = [];
  private stopped = false;

  /**
   * @param parts - Dependencies and callbacks.
   */
  constructor(private readonly parts: PermitManagerParts) {
    const {clock, members, transport} = parts;
    this.serial = parts.firstSerial;
    this.lastTickMs = clock.nowMs();
    this.roster = new ZoneRoster(members, members.self.zone);
    this.links = new PermitLinks({
      clock,
      transport,
      beforeReceive: () => this.detectPause(),
      onOwnerMessage: (host, message) => this.fromOwner(host, message),
      onFollowerMessage: (host, message) => this.fromFollower(host, message),
      onOwnerLinkEnded: (host, reason) => {
        this.parts.onLinkEnded?.(host, reason);
        this.postToFollowers({kind: 'linkClosed', host});
      },
      onFollowerLinkEnded: (host, reason) => {
        this.groupOfFollowerRef.delete(host);
        this.parts.onLinkEnded?.(host, reason);
        this.postToTasks({kind: 'linkClosed', host});
      },
    });
  }

  /** Starts the periodic checks and follows the groups of the local zone. */
  start(): void {
    const {clock, members} = this.parts;
    this.lastTickMs = clock.nowMs();
    this.roster.refresh(this.lastTickMs);
    this.cancels.push(
      every(clock, tickMs, () => this.tick()),
      subscribe(members.changes, member => {
        this.detectPause();
        this.roster.observe(member, clock.nowMs());
        this.postToTasks({kind: 'membershipChanged'});
        this.selectOwners();
      }),
    );
    this.configChanged();
  }

  /** Whether all other hosts are lost; this host then uses its static share of the limits. */
  get cutOff(): boolean {
    return this.roster.cutOff;
  }

  /** Applies the current configuration. */
  configChanged(): void {
    if (this.stopped) return;
    this.detectPause();
    const state = this.parts.config();
    this.postToTasks({kind: 'configChanged', state});
    for (const group of listGroups(state).keys()) {
      if (parseGroup(group)?.zone === this.parts.members.self.zone) {
        this.getFollower(group);
      }
    }
    this.selectOwners();
  }

  /**
   * Allows versions in addition to a service's version, for a rollout.
   *
   * @param service - Service that is rolled out.
   * @param caps - Versions that may get requests, with their limits per group owner.
   */
  setVersionCaps(service: string, caps: readonly VersionCap[]): void {
    this.versionCaps = new Map(this.versionCaps).set(service, caps);
    for (const [group, task] of this.tasks) {
      if (parseGroup(group)?.service === service) {
        task.post({kind: 'versionCaps', caps});
      }
    }
  }

  /**
   * Requests a permit from the owner of a group and waits for it.
   *
   * @param group - Name of the group.
   * @param req - Request to dispatch; its timeout bounds the wait.
   * @param signal - Aborted when the caller disconnects; cancels the wait.
   * @returns The grant, which the caller must release.
   * @throws {@link FailureError} of kind `refused` if the owner refuses or the wait ends.
   */
  acquire(
    group: string,
    req: QueuedRequest,
    signal: AbortSignal,
  ): Promise<Grant> {
    this.detectPause();
    if (this.stopped || signal.aborted) {
      const reason = this.stopped ? 'draining' : 'deadline-exceeded-waiting';
      throw new FailureError({kind: 'refused', reason});
    }
    const serial = ++this.serial;
    const follower = this.getFollower(group);
    const deadlineMs = this.parts.clock.nowMs() + req.timeoutMs;
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        follower.post({kind: 'cancel', serial});
        reject(
          new FailureError({
            kind: 'refused',
            reason: 'deadline-exceeded-waiting',
            detail: 'the caller disconnected',
          }),
        );
      };
      signal.addEventListener('abort', onAbort, {once: true});
      const done = () => signal.removeEventListener('abort', onAbort);
      follower.post({
        kind: 'acquire',
        pending: {
          serial,
          request: req,
          deadlineMs,
          resolve: grant => {
            done();
            resolve(grant);
          },
          reject: err => {
            done();
            reject(err);
          },
        },
      });
    });
  }

  /** Posts a message to the task of a group; dropped if this host doesn't own the group. */
  sendToOwned(group: string, message: GroupMessage): void {
    this.tasks.get(group)?.post(message);
  }

  /** Groups that this host owns, by name. */
  get owned(): ReadonlyMap<string, GroupTask> {
    return this.tasks;
  }

  /** Groups that this host follows, by name. */
  get followed(): ReadonlyMap<string, GroupFollower> {
    return this.followers;
  }

  /** Redirects all followers to the next owners, which also serve this host's new requests. */
  handOver(): void {
    if (this.roster.hosts.length > 1) this.postToTasks({kind: 'handOver'});
  }

  /** Stops the periodic checks and closes all links; later requests are refused. */
  stop(): void {
    this.stopped = true;
    for (const cancel of this.cancels.splice(0)) cancel();
    this.dropLinks();
  }

  /**
   * Releases all groups and shares. Must be called before any other work once the host detects that
   * it was paused: its followers may have moved, and owners may have released its permits.
   */
  selfPaused(): void {
    // Keeps detectPause from reporting a pause that the membership has detected.
    this.lastTickMs = this.parts.clock.nowMs();
    this.dropLinks();
    for (const group of this.tasks.keys()) this.parts.onOwned?.(group, false);
    this.tasks.clear();
    for (const follower of this.followers.values()) {
      follower.post({kind: 'restart'});
    }
  }

  private detectPause(): void {
    const nowMs = this.parts.clock.nowMs();
    const gapMs = nowMs - this.lastTickMs;
    if (this.stopped || gapMs < pauseThresholdMs) return;
    this.lastTickMs = nowMs;
    this.parts.onPaused?.(gapMs);
    this.selfPaused();
  }

  private tick(): void {
    this.detectPause();
    const nowMs = this.parts.clock.nowMs();
    this.lastTickMs = nowMs;
    this.roster.refresh(nowMs);
    this.links.tick();
    this.postToTasks({kind: 'tick'});
    for (const [group, task] of this.tasks) {
      if (task.idleMs < idleGroupTimeoutMs) continue;
      this.tasks.delete(group);
      this.parts.onOwned?.(group, false);
    }
    this.selectOwners();
  }

  private selectOwners(): void {
    for (const follower of this.followers.values()) {
      follower.post({kind: 'selectOwner'});
    }
  }

  private postToTasks(message: GroupMessage): void {
    for (const task of this.tasks.values()) task.post(message);
  }

  private getFollower(group: string): GroupFollower {
    const known = this.followers.get(group);
    if (known) return known;
    const {clock, members, config} = this.parts;
    const {zone, service} = parseGroup(group) as {
      zone: string;
      service: string;
    };
    const follower = new GroupFollower({
      host: members.self.id,
      group,
      foreign: zone !== members.self.zone,
      clock,
      rank: () =>
        rankHosts(
          group,
          members.live(zone).map(({id}) => id),
        ),
      target: name => {
        const caps = this.versionCaps.get(service) ?? [];
        const allowed = new Set(caps.map(({version}) => version));
        return toTargetView(config(), name, allowed);
      },
      send: (host, message) => this.sendToOwner(host, message),
      nextRef: () => this.nextRef(group),
      onFreeSlots: slots => this.capacity.set(group, slots, clock.nowMs()),
    });
    this.followers.set(group, follower);
    return follower;
  }

  private nextRef(group: string): number {
    // The former owner confirms with the previous ref, so the last two of each group are kept.
    const refs = this.refsOfGroup.get(group) ?? [];
    refs.push(++this.ref);
    if (refs.length > 2) this.groupOfLocalRef.delete(refs.shift() as number);
    this.refsOfGroup.set(group, refs);
    this.groupOfLocalRef.set(this.ref, group);
    return this.ref;
  }

  private sendToOwner(host: string, message: FollowerMessage): void {
    if (this.stopped) return;
    // The end of an attempt may be the first code that runs after a pause.
    this.detectPause();
    if (host === this.parts.members.self.id) this.fromFollower(host, message);
    else this.links.sendToOwner(host, message);
  }

  private postToFollowers(message: {kind: 'linkClosed'; host: string}): void {
    for (const follower of this.followers.values()) follower.post(message);
  }

  private fromOwner(host: string, message: OwnerMessage): void {
    const group = this.groupOfLocalRef.get(message.ref);
    if (group === undefined) return;
    this.followers.get(group)?.post({kind: 'ownerMessage', host, message});
  }

  private fromFollower(host: string, message: FollowerMessage): void {
    let refs = this.groupOfFollowerRef.get(host);
    if (!refs) this.groupOfFollowerRef.set(host, (refs = new Map()));
    if (message.kind === 'follow') {
      for (const [ref, group] of refs) {
        if (group === message.group && ref !== message.ref) refs.delete(ref);
      }
      refs.set(message.ref, message.group);
    }
    const group = refs.get(message.ref);
    if (group === undefined) return;
    if (message.kind === 'unfollow') refs.delete(message.ref);
    const task =
      this.tasks.get(group) ??
      (message.kind === 'follow' ? this.becomeOwner(group) : undefined);
    task?.post({kind: 'follower', host, message});
  }

  /** Becomes the owner when the first host follows, whatever the local member list says. */
  private becomeOwner(group: string): GroupTask | undefined {
    const {clock, members, config, createCore} = this.parts;
    const name = parseGroup(group);
    if (name?.zone !== members.self.zone) return undefined;
    if (this.tasks.size >= maxOwnedGroups) return undefined;
    const task = new GroupTask({
      group,
      core: createCore(group),
      clock,
      roster: this.roster,
      config: config(),
      send: (host, message) => this.sendToFollower(host, message),
    });
    this.tasks.set(group, task);
    const caps = this.versionCaps.get(name.service);
    if (caps) task.post({kind: 'versionCaps', caps});
    this.parts.onOwned?.(group, true);
    return task;
  }

  private sendToFollower(host: string, message: OwnerMessage): void {
    if (host === this.parts.members.self.id) this.fromOwner(host, message);
    else this.links.sendToFollower(host, message);
  }

  private dropLinks(): void {
    this.links.close();
    this.groupOfFollowerRef.clear();
  }
}
