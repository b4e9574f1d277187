/**
 * Applies a JSON merge patch (RFC 7396).
 *
 * @param target - Value to change; it is not modified.
 * @param patch - Patch; `null` removes a member.
 * @returns The changed value.
 */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (!isObject(patch)) return patch;
  const result = new Map(isObject(target) ? Object.entries(target) : []);
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) result.delete(key);
    else result.set(key, mergePatch(result.get(key), value));
  }
  // fromEntries defines own members, so that "__proto__" in a patch stays plain data.
  return Object.fromEntries(result);
}

/**
 * Checks whether a value is a JSON object.
 *
 * @param value - Any value.
 * @returns Whether it is an object and neither `null` nor an array.
 */
export function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
