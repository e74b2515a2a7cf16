/** Encoding of messages that go to many receivers. */

/** Remembers what each value was encoded to for as long as the value is in use, whatever is encoded in between. */
export function memoizeEncoder<Value extends object, Encoded>(
    encode: (value: Value) => Encoded,
): (value: Value) => Encoded {
    const known = new WeakMap<Value, Encoded>();
    return value => {
        const encoded = known.get(value) ?? encode(value);
        known.set(value, encoded);
        return encoded;
    };
}
