import {promisify} from 'node:util';
import {gunzip, gzip} from 'node:zlib';
import {FailureError} from '../../process/errors/catalogue.js';
import type {MemberView} from '../../process/member-view.js';
import type {ConfigState} from '../../version/config-state.js';
import {
  encodeSnapshot,
  SnapshotAssembler,
  type SnapshotPart,
} from '../../version/snapshots/snapshot-format.js';
import {PeerSnapshots} from '../../version/snapshots/snapshot-loader.js';
import type {PeerCalls} from './peer-calls.js';

/** Size of a page in bytes; half the bound of a message between hosts. */
const pageBytes = 64 * 1024;
/** Longest wait for one page, in milliseconds. */
const pageCallMs = 2000;
/** Hosts that are asked in one attempt. */
const maxAsked = 3;
/** Bounds of the compressed and of the plain snapshot, in bytes. */
const maxCompressedBytes = 16 * 1024 * 1024;
const maxPlainBytes = 128 * 1024 * 1024;

interface WireCall {
  readonly offset: number;
  readonly from: number;
}

interface WireReply {
  readonly offset?: number;
  readonly size?: number;
  readonly page?: Uint8Array;
}

/** Fetches the configuration of another host over the unary call `Snapshot`. */
export class GrpcPeerSnapshots extends PeerSnapshots {
  /**
   * @param calls - Calls to other hosts.
   * @param members - Hosts that can be asked.
   */
  constructor(
    private readonly calls: PeerCalls,
    private readonly members: MemberView,
  ) {
    super();
  }

  override async fetch(): Promise<readonly SnapshotPart[] | undefined> {
    for (const host of this.choose()) {
      const parts = await this.fetchFrom(host);
      if (parts) return parts;
    }
    return undefined;
  }

  /** Prefers the newest configuration, then the own zone. */
  private choose(): string[] {
    const {id: self, zone: own} = this.members.self;
    return this.members
      .live()
      .filter(({id, configOffset}) => id !== self && configOffset > 0)
      .sort(
        (a, b) =>
          b.configOffset - a.configOffset ||
          Number(b.zone === own) - Number(a.zone === own),
      )
      .slice(0, maxAsked)
      .map(({id}) => id);
  }

  private async fetchFrom(
    host: string,
  ): Promise<readonly SnapshotPart[] | undefined> {
    const pages: Uint8Array[] = [];
    let from = 0;
    let offset = 0;
    try {
      for (;;) {
        const call = {offset, from};
        const reply = await this.calls.call<WireCall, WireReply>(
          'Snapshot',
          host,
          call,
          pageCallMs,
        );
        const {size = 0, page = new Uint8Array()} = reply;
        if (reply.offset === undefined || page.length === 0) return undefined;
        if (from > 0 && reply.offset !== offset) return undefined;
        offset = reply.offset;
        pages.push(page);
        from += page.length;
        if (from > size || size > maxCompressedBytes) return undefined;
        if (from === size) return await unpack(Buffer.concat(pages));
      }
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      return undefined;
    }
  }
}

/** What {@link serveSnapshots} reads. */
export interface SnapshotProvider {
  readonly config: () => ConfigState;
  /** Whether the configuration is complete; a partial one must not start another host. */
  readonly ready: () => boolean;
}

/**
 * Serves the unary call `Snapshot`. One compressed snapshot is kept, so that its pages fit together
 * and a restarting zone costs one compression.
 *
 * @param calls - Calls from other hosts.
 * @param serving - Configuration of this host.
 * @param host - Id of this host.
 */
export function serveSnapshots(
  calls: PeerCalls,
  {config, ready}: SnapshotProvider,
  host: string,
): void {
  let kept: {offset: number; bytes: Promise<Buffer>} | undefined;
  calls.handle<WireCall, WireReply>('Snapshot', async ({offset, from}) => {
    const state = config();
    if (from === 0) {
      if (!ready() || state.offset === 0) return {};
      if (kept?.offset !== state.offset) {
        kept = {offset: state.offset, bytes: pack(state, host)};
      }
    }
    const held = kept;
    if (!held || (from > 0 && held.offset !== offset)) return {};
    const bytes = await held.bytes;
    const page = bytes.subarray(from, from + pageBytes);
    return {offset: held.offset, size: bytes.length, page};
  });
}

function pack(state: ConfigState, host: string): Promise<Buffer> {
  // The parts are not stored in the log, so neither the id nor the time is used.
  const parts = encodeSnapshot(state, `${host}/${state.offset}`, '');
  return promisify(gzip)(JSON.stringify(parts));
}

async function unpack(
  bytes: Buffer,
): Promise<readonly SnapshotPart[] | undefined> {
  try {
    const plain = await promisify(gunzip)(bytes, {
      maxOutputLength: maxPlainBytes,
    });
    const parts: unknown = JSON.parse(plain.toString());
    if (!Array.isArray(parts)) return undefined;
    const assembler = new SnapshotAssembler();
    for (const part of parts) assembler.add(part);
    return assembler.newest;
  } catch {
    return undefined;
  }
}
