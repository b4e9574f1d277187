import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {ServiceDefinition} from '@grpc/grpc-js';
import {
  loadSync,
  type MessageTypeDefinition,
  type PackageDefinition,
} from '@grpc/proto-loader';

/**
 * Loads a service from the folder `proto` of the package.
 *
 * @param file - File name, for example `peer.proto`.
 * @param service - Full name of the service.
 * @returns Definition for grpc-js. Field names are lower camel case, enums are strings, 64-bit
 *   integers are numbers.
 * @throws RangeError if the package does not hold the file or the service.
 */
export function loadProto(file: string, service: string): ServiceDefinition {
  return find(file, service) as ServiceDefinition;
}

/**
 * Loads a message type from the folder `proto` of the package, for contents of `bytes` fields.
 *
 * @param file - File name.
 * @param message - Full name of the message.
 * @returns Type with `serialize` and `deserialize`.
 * @throws RangeError if the package does not hold the file or the message.
 */
export function loadProtoMessage<T>(
  file: string,
  message: string,
): MessageTypeDefinition<T, T> {
  return find(file, message) as unknown as MessageTypeDefinition<T, T>;
}

/** Looks upwards from this file, because compiled files lie deeper than sources. */
function find(file: string, name: string): PackageDefinition[string] {
  let folder = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(folder, 'proto', file))) {
    const parent = dirname(folder);
    if (parent === folder) {
      throw new RangeError(`proto/${file} is missing from the package`);
    }
    folder = parent;
  }
  const definition = loadSync(join(folder, 'proto', file), {
    longs: Number,
    enums: String,
    defaults: true,
    oneofs: true,
  })[name];
  if (!definition)
    throw new RangeError(`proto/${file} does not define ${name}`);
  return definition;
}
