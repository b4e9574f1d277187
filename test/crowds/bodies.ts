import type {Source} from './crowd.js';

const mebibyte = 1024 * 1024;
/** The limit of bodies in the configuration, in bytes. */
export const maxBodyBytes = 4 * mebibyte;
/** What a connection sends at most if nothing ends it, in bytes. */
export const endlessBytes = 64 * mebibyte;

const part = Buffer.alloc(64 * 1024, 'a');

/** The head of a request, with `Content-Length` or, without one, in chunks. */
export function head(
  path: string,
  headers: Readonly<Record<string, string | number>>,
  length?: number,
): Buffer {
  const framing =
    length === undefined
      ? 'Transfer-Encoding: chunked'
      : `Content-Length: ${length}`;
  const fields = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return Buffer.from(
    `POST ${path} HTTP/1.1\r\n${fields.join('')}${framing}\r\n\r\n`,
  );
}

/** A number of body bytes, in parts of a size. */
export function* bytes(count: number, partBytes = part.length): Source {
  for (let left = count; left > 0; left -= partBytes) {
    yield part.subarray(0, Math.min(left, partBytes));
  }
}

/**
 * A body of a number of bytes in chunks, without the last chunk.
 *
 * @param count - Size of the body, in bytes.
 * @param chunkBytes - Size of a chunk, in bytes.
 * @param partBytes - Size up to which chunks are sent together, in bytes.
 */
export function* chunks(
  count: number,
  chunkBytes: number,
  partBytes = part.length,
): Source {
  const chunk = Buffer.concat([
    Buffer.from(`${chunkBytes.toString(16)}\r\n`),
    part.subarray(0, chunkBytes),
    Buffer.from('\r\n'),
  ]);
  const perPart = Math.max(1, Math.floor(partBytes / chunk.length));
  const several = Buffer.concat(Array<Buffer>(perPart).fill(chunk));
  let left = Math.floor(count / chunkBytes);
  for (; left >= perPart; left -= perPart) yield several;
  for (; left > 0; left--) yield chunk;
}

/** A body in chunks that is far over the limit and does not end. */
export function endlessChunks(): Source {
  return chunks(endlessBytes, part.length, 16 * part.length);
}

/** Sources one after the other. */
export function* inOrder(...sources: readonly Source[]): Source {
  for (const source of sources) yield* source;
}
