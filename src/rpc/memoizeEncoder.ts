/** Memoization for messages that are sent to many receivers. */

/** Caches the encoded form of each value for as long as the value is referenced, so that it is encoded only once. */
export function memoizeEncoder<Value extends object, Encoded>(
    encode: (value: Value) => Encoded,
): (value: Value) => Encoded {
    const cache = new WeakMap<Value, Encoded>();
    return value => {
        const encoded = cache.get(value) ?? encode(value);
        cache.set(value, encoded);
        return encoded;
    };
}
