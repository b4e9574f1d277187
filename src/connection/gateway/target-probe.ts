import {connect} from 'node:net';
import {inputRead} from '../../process/input-read.js';

/** What a probe of a target's address found. */
export const probeResults = {
  /** Nothing listens at the address: the target's process has ended. */
  refused: 'refused',
  /** Something accepts connections at the address. */
  accepted: 'accepted',
  /** No answer: the target or this host may be cut off. */
  unknown: 'unknown',
} as const;

/** One of {@link probeResults}. */
export type ProbeResult = (typeof probeResults)[keyof typeof probeResults];

/** Finds out whether the process of a target has ended. */
export abstract class TargetProbe {
  /**
   * Probes an address.
   *
   * @param address - Address of the target, `IP:PORT`.
   */
  abstract probe(address: string): Promise<ProbeResult>;
}

/** Timeout of a probe, in milliseconds; a host that runs refuses or accepts within a few. */
const probeTimeoutMs = 600;

/** Opens a TCP connection and closes it at once. */
export class TcpTargetProbe extends TargetProbe {
  override probe(address: string): Promise<ProbeResult> {
    const {hostname, port} = new URL(`http://${address}`);
    return new Promise(resolve => {
      const socket = connect({host: hostname, port: Number(port)});
      const finish = (result: ProbeResult) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(result);
      };
      const timer = setTimeout(
        () => void inputRead().then(() => finish(probeResults.unknown)),
        probeTimeoutMs,
      );
      socket.once('connect', () => finish(probeResults.accepted));
      socket.once('error', (err: NodeJS.ErrnoException) =>
        finish(
          err.code === 'ECONNREFUSED'
            ? probeResults.refused
            : probeResults.unknown,
        ),
      );
    });
  }
}
