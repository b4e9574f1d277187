import {FailureError} from '../process/errors/catalogue.js';

/** Average number of characters per token; used only for estimates. */
const charsPerToken = 4;

/** Fields of a completion request that scheduling needs. */
export interface CompletionRequest {
  readonly model: string;
  readonly stream: boolean;
  /** Maximum number of tokens to generate, if the caller stated one. */
  readonly maxTokens?: number;
  /** Text of the prompt; of chat messages, roles and contents joined by line breaks. */
  readonly prompt: string;
  /** Estimated length of the prompt in tokens, at least 1. */
  readonly promptTokens: number;
}

/**
 * Parses the body of an OpenAI completion request. Only the fields that scheduling needs are
 * validated; the engine validates the rest.
 *
 * @param body - Body as received.
 * @returns The fields that scheduling needs.
 * @throws {@link FailureError} of kind `refused` with reason `malformed-request`.
 */
export function readCompletion(body: Buffer): CompletionRequest {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    throw malformed('the body is not JSON');
  }
  if (!isObject(value)) throw malformed('the body is not a JSON object');
  if (typeof value['model'] !== 'string') {
    throw malformed('"model" is not a string');
  }
  const prompt = readPrompt(value);
  return {
    model: value['model'],
    stream: value['stream'] === true,
    maxTokens: readTokenLimit(
      value['max_completion_tokens'] ?? value['max_tokens'],
    ),
    prompt,
    promptTokens: Math.max(1, Math.ceil(prompt.length / charsPerToken)),
  };
}

function readPrompt(value: Record<string, unknown>): string {
  const {messages, prompt} = value;
  if (!Array.isArray(messages)) return readText(prompt);
  return messages
    .filter(isObject)
    .map(
      message =>
        `${readText(message['role'])}\n${readText(message['content'])}\n`,
    )
    .join('');
}

function readText(value: unknown): string {
  if (typeof value === 'string') return value;
  if (!Array.isArray(value)) return '';
  return value
    .map(part =>
      typeof part === 'string'
        ? part
        : isObject(part) && typeof part['text'] === 'string'
          ? part['text']
          : '',
    )
    .join('');
}

function readTokenLimit(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isSafeInteger(value) && value > 0
    ? value
    : undefined;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function malformed(detail: string): FailureError {
  return new FailureError({
    kind: 'refused',
    reason: 'malformed-request',
    detail,
  });
}
