/** Returns the whole number that is nearest to `value` among those that a message can carry. */
export function toSafeInteger(value: number): number {
    return Math.max(-Number.MAX_SAFE_INTEGER, Math.min(Math.floor(value), Number.MAX_SAFE_INTEGER));
}
