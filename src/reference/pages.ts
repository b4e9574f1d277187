import {events, type LogEvent} from '../process/events/catalogue.js';
import {settingsSchema} from '../process/settings-schema.js';
import {refusals} from '../request/refusals.js';

/**
 * Renders the reference pages that are made from catalogues in the code. `npm run docs` writes
 * them; a test compares them with the files.
 *
 * @returns Text by file name, relative to the root of the package.
 */
export function referencePages(): Record<string, string> {
  return {
    'docs/events.md': renderEvents(),
    'docs/operations/settings.md': renderSettings(),
    'docs/operations/refusals.md': renderRefusals(),
  };
}

const generatedNote =
  'Made from the code by `npm run docs`; change the code, not this page.';

function renderEvents(): string {
  const rows = Object.entries(events as Record<string, LogEvent>)
    .sort(([, a], [, b]) => a.id - b.id)
    .map(
      ([name, {id, level, message}]) =>
        `| ${id} | \`${name}\` | ${level} | ${message} |`,
    );
  return page('Log events', [
    'Each log line is a JSON object with `event`, the number below.',
    '',
    '| event | name | level | message |',
    '|---|---|---|---|',
    ...rows,
  ]);
}

/** Part of a JSON schema that the settings reference shows. */
interface SchemaNode {
  readonly description?: string;
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly properties?: Record<string, SchemaNode>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
}

function renderSettings(): string {
  const rows: string[] = [];
  addRows(rows, '', settingsSchema as unknown as SchemaNode);
  return page('Settings', [
    'Settings are one JSON object. A host checks them before it opens a socket and exits with code 2 if they are invalid.',
    '',
    '| key | type | default | meaning |',
    '|---|---|---|---|',
    ...rows,
  ]);
}

function addRows(rows: string[], path: string, node: SchemaNode): void {
  for (const [key, child] of Object.entries(node.properties ?? {})) {
    const name = path ? `${path}.${key}` : key;
    if (!child.properties) {
      const required = node.required?.includes(key);
      rows.push(
        `| \`${name}\` | ${typeText(child)} | ${defaultText(child, required)} | ${child.description ?? ''} |`,
      );
    }
    addRows(rows, name, child);
    if (child.items?.properties) addRows(rows, `${name}[]`, child.items);
  }
}

function typeText(node: SchemaNode): string {
  if (node.enum) return node.enum.map(value => `\`${value}\``).join(', ');
  const range =
    node.minimum === undefined
      ? ''
      : `, ${node.minimum}–${node.maximum ?? 'unbounded'}`;
  return `${node.type ?? 'any'}${range}`;
}

function defaultText(node: SchemaNode, required = false): string {
  if (node.default !== undefined) return `\`${JSON.stringify(node.default)}\``;
  return required ? 'required' : 'none';
}

function renderRefusals(): string {
  const rows = Object.entries(refusals)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(
      ([reason, text]) =>
        `| \`${reason}\` | ${text.status} | ${text.title} | ${text.retryable ? 'yes' : 'no'} | ${text.execution} |`,
    );
  return page('Refusal reasons', [
    'A refused request is answered with `application/problem+json`. `execution` is `not-run` only if the request was certainly not run; `unknown` means that it may have been run.',
    '',
    '| reason | status | meaning | retryable | execution |',
    '|---|---|---|---|---|',
    ...rows,
  ]);
}

function page(title: string, lines: string[]): string {
  return [`# ${title}`, '', generatedNote, '', ...lines, ''].join('\n');
}
