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

/** Ends a command with an exit code after its output was written. */
class CommandEnd extends Error {
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

  /** Does the work of the command and returns its exit code. */
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
      if (err instanceof CommandEnd) return err.code;
      if (!(err instanceof FailureError)) throw err;
      printFailure(this.context.stderr, err);
      return err.failure.kind.startsWith('host-')
        ? exitCodes.unavailable
        : exitCodes.usage;
    } finally {
      await client?.close();
    }
  }

  /** Returns the body of an answer, or prints the problem and ends the command. */
  protected unwrap<T>(answer: ApiResponse<T>): T {
    if (answer.kind === 'ok') return answer.body;
    this.printProblem(answer.problem);
    throw new CommandEnd(exitCodeOf(answer.problem));
  }

  /** Prints a problem with the faults of single fields. */
  protected printProblem(problem: Problem): void {
    const {stderr} = this.context;
    stderr.write(`error: ${problem.title}\n  ${problem.detail}\n`);
    for (const {path, reason} of problem.errors ?? []) {
      stderr.write(`  ${path} ${reason}\n`);
    }
    if (problem.hint) stderr.write(`  hint: ${problem.hint}\n`);
  }

  /** Prints a value as JSON, or rows as a table. */
  protected print(value: unknown, rows: readonly (readonly string[])[]): void {
    this.context.stdout.write(
      this.output === 'json'
        ? `${JSON.stringify(value, undefined, 2)}\n`
        : formatTable(rows),
    );
  }

  /** Reads resource files; prints their faults and ends the command if there are any. */
  protected async readFiles(
    path: string,
  ): Promise<readonly DeclaredResource[]> {
    const {resources, faults} = await readResourceFiles(path);
    for (const {file, path: field, reason} of faults) {
      this.context.stderr.write(`${file}: ${field} ${reason}\n`);
    }
    if (faults.length > 0) throw new CommandEnd(exitCodes.usage);
    return resources;
  }
}

/**
 * Maps a problem of the resource API to an exit code.
 *
 * @param problem - Problem document.
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
 * Makes table rows of planned changes, one for each field.
 *
 * @param changes - Planned changes.
 * @returns Rows with a heading.
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
