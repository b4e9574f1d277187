/** A word of a statement with its column, from 1. */
export interface Word {
  readonly text: string;
  readonly column: number;
}

/** One line of a scenario. */
export interface Statement {
  readonly line: number;
  readonly words: readonly Word[];
}

/** A statement that is not of the language, or that does not hold. */
export class ScenarioError extends Error {
  constructor(
    readonly line: number,
    readonly column: number,
    message: string,
  ) {
    super(`${line}:${column}: ${message}`);
  }
}

const verbs = new Set(
  (
    'declare send kill pause resume stop start cut heal log zone leave ' +
    'advance expect'
  ).split(' '),
);

/** Splits a scenario into statements; `#` starts a comment. */
export function parseScenario(text: string): Statement[] {
  const statements: Statement[] = [];
  for (const [index, source] of text.split('\n').entries()) {
    const line = index + 1;
    const code = source.replace(/(^|\s)#.*$/, '');
    const words = [...code.matchAll(/\S+/g)].map(match => ({
      text: match[0],
      column: match.index + 1,
    }));
    const [verb] = words;
    if (!verb) continue;
    if (!verbs.has(verb.text)) {
      throw new ScenarioError(line, verb.column, `unknown verb "${verb.text}"`);
    }
    statements.push({line, words});
  }
  return statements;
}

/** Reads a time such as `500ms` or `2s`, in milliseconds. */
export function readTime({line}: Statement, {text, column}: Word): number {
  const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text);
  if (!match) throw new ScenarioError(line, column, `"${text}" is not a time`);
  return Number(match[1]) * (match[2] === 's' ? 1000 : 1);
}
