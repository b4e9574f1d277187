import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {FailureError} from '../process/errors/catalogue.js';
import type {PlannedChange} from '../version/client/difference.js';
import {
  ResourceClient,
  type ApiResponse,
  type Problem,
} from '../version/client/resource-client.js';
import {
  readResourceFiles,
  type DeclaredResource,
} from '../version/client/resource-files.js';
import {exitCodes, printFailure} from './shared.js';
import {formatTable} from './table.js';

/** Thrown to end a command with an exit code after its output was written. */
class CommandExit extends Error {
  constructor(readonly code: number) {
    super(`exit code ${code}`);
  }
}

/** Options and error handling of the commands that use the resource API. */
export abstract class ResourceCommand extends Command {
  host = Option.String('--host', {
    required: true,
    description: 'base URL of any host, for example http://127.0.0.1:8080',
  });
  tokenFile = Option.String('--token-file', {
    required: true,
    description: 'file with the operator token',
  });
  output = Option.String('--output', 'table', {
    description: 'table or json',
  });

  /**
   * Runs the command with an API client and returns its exit code. The
   * caller closes the client.
   */
  protected abstract work(client: ResourceClient): Promise<number>;

  async execute(): Promise<number> {
    let client: ResourceClient | undefined;
    try {
      if (this.output !== 'table' && this.output !== 'json') {
        this.context.stderr.write('error: --output must be table or json\n');
        return exitCodes.usage;
      }
      client = new ResourceClient(this.host, await readToken(this.tokenFile));
      return await this.work(client);
    } catch (err) {
      if (err instanceof CommandExit) return err.code;
      if (!(err instanceof FailureError)) throw err;
      printFailure(this.context.stderr, err);
      return err.failure.kind.startsWith('host-')
        ? exitCodes.unavailable
        : exitCodes.usage;
    } finally {
      await client?.close();
    }
  }

  /** Returns the body of a response, or prints its problem and ends the command. */
  protected unwrap<T>(response: ApiResponse<T>): T {
    if (response.kind === 'ok') return response.body;
    this.printProblem(response.problem);
    throw new CommandExit(exitCodeOf(response.problem));
  }

  /** Prints a problem with its field errors and its hint to stderr. */
  protected printProblem(problem: Problem): void {
    const {stderr} = this.context;
    stderr.write(`error: ${problem.title}\n  ${problem.detail}\n`);
    for (const {path, reason} of problem.errors ?? []) {
      stderr.write(`  ${path} ${reason}\n`);
    }
    if (problem.hint) stderr.write(`  hint: ${problem.hint}\n`);
  }

  /** Prints the value as JSON or the rows as a table, as `--output` selects. */
  protected print(value: unknown, rows: readonly (readonly string[])[]): void {
    this.context.stdout.write(
      this.output === 'json'
        ? `${JSON.stringify(value, undefined, 2)}\n`
        : formatTable(rows),
    );
  }

  /** Reads resource files, or prints their validation errors and ends the command. */
  protected async readFiles(
    path: string,
  ): Promise<readonly DeclaredResource[]> {
    const {resources, faults} = await readResourceFiles(path);
    for (const {file, path: field, reason} of faults) {
      this.context.stderr.write(`${file}: ${field} ${reason}\n`);
    }
    if (faults.length > 0) throw new CommandExit(exitCodes.usage);
    return resources;
  }
}

/**
 * Maps a problem of the resource API to an exit code by its HTTP status.
 *
 * @param problem - Problem document of the failed request.
 * @returns Exit code of the command.
 */
export function exitCodeOf(problem: Problem): number {
  switch (problem.status) {
    case 401:
    case 403:
      return exitCodes.refused;
    case 409:
    case 412:
      return exitCodes.conflict;
    case 503:
      return exitCodes.unavailable;
    default:
      return exitCodes.failed;
  }
}

/**
 * Formats planned changes as table rows, one for each changed field.
 *
 * @param changes - Changes to print, in this order.
 * @returns Rows with the heading first; an absent value is shown as `-`.
 */
export function changeRows(changes: readonly PlannedChange[]): string[][] {
  const heading = ['CHANGE', 'RESOURCE', 'FIELD', 'FROM', 'TO'];
  const rows = changes.flatMap(({change, kind, name, fields}) =>
    fields.map(({path, from, to}) => [
      change,
      `${kind}/${name}`,
      path,
      from === undefined ? '-' : JSON.stringify(from),
      to === undefined ? '-' : JSON.stringify(to),
    ]),
  );
  return [heading, ...rows];
}

async function readToken(file: string): Promise<string> {
  try {
    return (await readFile(file, 'utf8')).trim();
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? 'unknown error';
    throw new FailureError({kind: 'resource-file-unreadable', file, reason});
  }
}
